//! The region that serves a request, and whether this node's limits let it through.
//!
//! It joins the node's [`Shift`] with its windows, so that a request takes room in exactly the
//! windows of the region it is sent to. See docs/SHIFTS.md and docs/LIMITS.md.

use crate::limit::Window;
use crate::planner::{Ack, Demand};
use crate::share::{Caps, Limits, START_WAIT, limits};
use crate::shift::{Route, Shift, Tick};
use crate::{Index, Regions, region_of};
use clock::Millis;
use errors::{Error, Kind};
use std::sync::Arc;

const SECOND: Millis = Millis::from_secs(1);

/// The weight of the last second in the smoothed demand.
const SMOOTHING: f64 = 0.25;

/// What one node admits into each region.
#[derive(Debug)]
pub struct Admission {
    vm: Arc<str>,
    domain: Arc<str>,
    started: Millis,
    region: Option<u16>,
    shift: Shift,
    gates: Vec<Gate>,
    ack: Ack,
    meter: Meter,
}

/// The windows of one region.
#[derive(Debug)]
struct Gate {
    name: Arc<str>,
    requests: Window,
    shift: Window,
}

/// A request that was let through.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// The number of the region to send it to.
    pub region: u16,
    /// Why that region.
    pub reason: Reason,
}

/// Why a request goes to a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The region serves the request's position already.
    Serving,
    /// A shift moves it there, under the shift cap.
    Moved,
    /// A shift is to move it away, but its new region's cap or shift cap is reached.
    Waiting,
}

/// The demand of the node's callers, smoothed over some seconds.
#[derive(Debug, Default)]
struct Meter {
    second: Millis,
    home: u32,
    away: u32,
    home_rate: f64,
    away_rate: f64,
}

impl Admission {
    /// The admission of the VM called `vm` in failure domain `domain`, started at `now`.
    pub fn new(index: &Index, vm: Arc<str>, domain: Arc<str>, now: Millis) -> Admission {
        let snapshot = index.snapshot();
        let tick = Tick {
            plan: &snapshot.plan,
            regions: index.regions(),
            down: Regions::NONE,
            limits: &[],
            step: snapshot.preset.shift_step,
            now,
        };
        let shift = Shift::new(&tick);
        let ack = Ack::default();
        let meter = Meter { second: now, ..Meter::default() };
        let gates = Vec::new();
        let mut admission =
            Admission { vm, domain, started: now, region: None, shift, gates, ack, meter };
        admission.tick(index, Regions::NONE, now);
        admission
    }

    /// Takes over a snapshot, a change of the regions that are down, and the time.
    ///
    /// It is called for every new snapshot and at least every tenth of a second.
    pub fn tick(&mut self, index: &Index, down: Regions, now: Millis) {
        let snapshot = index.snapshot();
        let caps = Caps {
            deployment: &snapshot.deployment,
            preset: &snapshot.preset,
            drains: &snapshot.drains,
        };
        let limits = limits(&snapshot.plan, caps, &self.vm, now);
        self.set_gates(index.regions(), &limits);
        let shift_limits: Vec<u32> = limits.regions.iter().map(|limit| limit.shift).collect();
        self.shift.tick(&Tick {
            plan: &snapshot.plan,
            regions: index.regions(),
            down: down.union(index.drained(now)),
            limits: &shift_limits,
            step: snapshot.preset.shift_step,
            now,
        });
        let own = region_of(&snapshot.deployment, &self.domain);
        self.region = own.and_then(|region| index.region(&region.name));
        self.ack = Ack {
            stamp: snapshot.plan.stamp(),
            shift: snapshot.plan.shift,
            settled: self.shift.settled(),
        };
        self.meter.advance(now);
    }

    /// Lets a request of `block` of region `home` through, or refuses it as not run.
    ///
    /// `draw` is any hash of the request's id; see [`Shift::route`].
    ///
    /// # Errors
    ///
    /// [`Kind::Overloaded`] if this node's share of the region is used up, [`Kind::ShiftCapped`]
    /// if the request's region is lost and its turn to move hasn't come, [`Kind::NoUpstream`] if
    /// every region is lost, [`Kind::NotReady`] in the first second after the start.
    pub fn admit(
        &mut self,
        home: u16,
        block: u32,
        draw: u32,
        now: Millis,
    ) -> Result<Admitted, Error> {
        if now - self.started < START_WAIT {
            return Err(Error::new(Kind::NotReady, "the node has just started"));
        }
        self.shift.seen(now);
        match self.shift.route(home, block, draw) {
            Route::Stay(region) => self.send(region, Reason::Serving, now),
            Route::Move { to, old } => self.move_to(to, old, now),
            Route::Held => Err(Error::new(Kind::ShiftCapped, "its region is lost")),
            Route::Lost => Err(Error::new(Kind::NoUpstream, "every region is lost")),
        }
    }

    /// The region in which look-ups name entry VMs for `block` of region `home`.
    pub fn serving(&self, home: u16, block: u32) -> u16 {
        self.shift.serving(home, block)
    }

    /// What the node tells the planner of the plan that it holds.
    pub fn ack(&self) -> Ack {
        self.ack
    }

    /// What the node tells the planner of its callers' demand.
    pub fn demand(&self) -> Demand {
        Demand {
            home: self.meter.home_rate.ceil() as u32,
            away: self.meter.away_rate.ceil() as u32,
        }
    }

    fn move_to(&mut self, to: u16, old: Option<u16>, now: Millis) -> Result<Admitted, Error> {
        let gate = &mut self.gates[usize::from(to)];
        let admitted = gate.shift.check(now).is_ok() && gate.requests.check(now).is_ok();
        self.shift.attempt(to, admitted, now);
        if !admitted {
            let old = old.ok_or_else(|| shift_capped(&gate.name))?;
            return self.send(old, Reason::Waiting, now);
        }
        let sent = self.send(to, Reason::Moved, now)?;
        self.gates[usize::from(to)].shift.admit(now).map_err(|_| shift_capped("the region"))?;
        Ok(sent)
    }

    fn send(&mut self, region: u16, reason: Reason, now: Millis) -> Result<Admitted, Error> {
        self.meter.count(Some(region) == self.region);
        let gate = &mut self.gates[usize::from(region)];
        let admitted = gate.requests.admit(now);
        admitted.map_err(|_| Error::new(Kind::Overloaded, format!("{} is full", gate.name)))?;
        Ok(Admitted { region, reason })
    }

    /// Sets every window's cap and keeps, by the region's name, what it has admitted.
    fn set_gates(&mut self, names: &[Arc<str>], limits: &Limits) {
        let same = self.gates.iter().map(|gate| &gate.name).eq(names.iter());
        if !same {
            let mut old = std::mem::take(&mut self.gates);
            self.gates = names.iter().map(|name| Gate::take(&mut old, name)).collect();
        }
        for (gate, limit) in self.gates.iter_mut().zip(&limits.regions) {
            gate.requests.set_cap(limit.requests);
            gate.shift.set_cap(limit.shift);
        }
    }
}

impl Gate {
    fn take(old: &mut Vec<Gate>, name: &Arc<str>) -> Gate {
        match old.iter().position(|gate| gate.name == *name) {
            Some(at) => old.swap_remove(at),
            None => {
                Gate { name: Arc::clone(name), requests: Window::new(0), shift: Window::new(0) }
            }
        }
    }
}

impl Meter {
    fn count(&mut self, home: bool) {
        match home {
            true => self.home += 1,
            false => self.away += 1,
        }
    }

    fn advance(&mut self, now: Millis) {
        while now - self.second >= SECOND {
            self.second = self.second + SECOND;
            self.home_rate += SMOOTHING * (f64::from(self.home) - self.home_rate);
            self.away_rate += SMOOTHING * (f64::from(self.away) - self.away_rate);
            self.home = 0;
            self.away = 0;
        }
    }
}

fn shift_capped(region: &str) -> Error {
    Error::new(Kind::ShiftCapped, format!("the shift cap into {region} is reached"))
}
