//! The region that serves a request, and whether this node's limits let it through.
//!
//! It joins the node's [`Shift`] with its windows, so that a request takes room in exactly the
//! windows of the region it is sent to. See docs/SHIFTS.md and docs/LIMITS.md.

mod gate;
mod meter;

use crate::planner::{Ack, Demand};
use crate::share::{Configuration, Limits, START_WAIT, limits};
use crate::shift::{Route, Shift, Tick};
use crate::{Index, Regions, region_of};
use clock::Millis;
use errors::{Error, Kind};
use gate::Gate;
use meter::{Meter, Rate};
use std::sync::Arc;

/// The part of a region's window that moved requests may fill, so that those served there already
/// aren't refused because of them.
const MOVED_PART: u32 = 9;
const MOVED_WHOLE: u32 = 10;

/// What one node admits into each region.
#[derive(Debug)]
pub struct Admission {
    vm: Arc<str>,
    domain: Arc<str>,
    started: Millis,
    shift: Shift,
    gates: Vec<Gate>,
    ack: Ack,
    meter: Meter,
    step: Step,
}

/// The step of growth under way.
#[derive(Clone, Copy, Debug)]
struct Step {
    start: Millis,
    generation: u64,
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
    /// A shift is to move it away, but its turn hasn't come or its new region's cap is reached.
    Waiting,
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
            cap: 0,
            step: snapshot.preset.shift_step,
            lease: snapshot.preset.lease_max,
            now,
        };
        let shift = Shift::new(&tick);
        let ack = Ack::default();
        let meter = Meter { second: now, ..Meter::default() };
        let gates = Vec::new();
        let step = Step { start: now, generation: 0 };
        let mut admission = Admission { vm, domain, started: now, shift, gates, ack, meter, step };
        admission.tick(index, Regions::NONE, now);
        admission
    }

    /// Takes over a snapshot, a change of the regions that are down, and the time.
    ///
    /// It is called for every new snapshot and at least every tenth of a second.
    pub fn tick(&mut self, index: &Index, down: Regions, now: Millis) {
        let snapshot = index.snapshot();
        let caps = Configuration {
            deployment: &snapshot.deployment,
            preset: &snapshot.preset,
            drains: &snapshot.drains,
        };
        let home = region_of(&snapshot.deployment, &self.domain).map(|region| &*region.name);
        let limits = limits(&snapshot.plan, caps, &self.vm, home.unwrap_or_default(), now);
        self.set_gates(index.regions(), &limits);
        let shift_limits: Vec<u32> = limits.regions.iter().map(|limit| limit.shift).collect();
        self.shift.tick(&Tick {
            plan: &snapshot.plan,
            regions: index.regions(),
            down: down.union(index.drained(now)),
            limits: &shift_limits,
            cap: snapshot.preset.shift_cap,
            step: snapshot.preset.shift_step,
            lease: snapshot.preset.lease_max,
            now,
        });
        self.grow(snapshot.preset.shift_step, now);
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
        let route = self.shift.route(home, block, draw);
        if matches!(route, Route::Move { .. } | Route::Wait(_) | Route::Held) {
            self.meter.moving.count += 1;
        }
        match route {
            Route::Stay(region) => self.send(region, Reason::Serving, now),
            Route::Wait(region) => self.send(region, Reason::Waiting, now),
            Route::Moved { to, old } => self.stay_moved(to, old, now),
            Route::Move { to, old } => self.move_to(to, old, now),
            Route::Held => Err(Error::new(Kind::ShiftCapped, "its region is lost")),
            Route::Lost => Err(Error::new(Kind::NoUpstream, "every region is lost")),
        }
    }

    /// Lets a request through to `to`, because no upstream in the region that it was admitted to can
    /// serve it; it counts as moved, under the shift cap.
    ///
    /// # Errors
    ///
    /// [`Kind::ShiftCapped`] or [`Kind::Overloaded`] if a limit of `to` is reached.
    pub fn fail_over(&mut self, to: u16, now: Millis) -> Result<Admitted, Error> {
        self.move_to(to, None, now)
    }

    /// Lets one more attempt of an admitted request through to the same region.
    ///
    /// # Errors
    ///
    /// [`Kind::Overloaded`] if this node's share of the region is used up.
    pub fn retry(&mut self, region: u16, now: Millis) -> Result<(), Error> {
        let gate = &mut self.gates[usize::from(region)];
        let admitted = gate.requests.admit(now);
        admitted.map_err(|_| Error::new(Kind::Overloaded, format!("{} is full", gate.name)))
    }

    /// The region in which look-ups name entry VMs for `block` of region `home`.
    pub fn serving_region(&self, home: u16, block: u32) -> u16 {
        self.shift.serving_region(home, block)
    }

    /// What the node tells the planner of the plan that it holds.
    pub fn ack(&self) -> Ack {
        self.ack
    }

    /// What the node tells the planner of its callers' demand.
    pub fn demand(&self) -> Demand {
        let regions = self.meter.regions.iter().map(Rate::whole).collect();
        Demand { regions, moving: self.meter.moving.whole() }
    }

    fn move_to(&mut self, to: u16, old: Option<u16>, now: Millis) -> Result<Admitted, Error> {
        let gate = &mut self.gates[usize::from(to)];
        let room = gate.requests.cap() * MOVED_PART / MOVED_WHOLE;
        if gate.requests.used(now) >= room {
            return self.send_back(to, old, now);
        }
        let admitted = gate.shift.check(now).is_ok() && gate.moved.window.admit(now).is_ok();
        self.shift.attempt(to, admitted, now);
        if !admitted {
            return self.send_back(to, old, now);
        }
        // Nothing came between the check and here, so the window still has room.
        let _ = gate.shift.admit(now);
        self.send(to, Reason::Moved, now)
    }

    fn stay_moved(&mut self, to: u16, old: Option<u16>, now: Millis) -> Result<Admitted, Error> {
        let gate = &mut self.gates[usize::from(to)];
        let full = old.is_some() && gate.requests.check(now).is_err();
        if !full && gate.moved.window.admit(now).is_ok() {
            return self.send(to, Reason::Serving, now);
        }
        self.meter.moving.count += 1;
        self.send_back(to, old, now)
    }

    fn send_back(&mut self, to: u16, old: Option<u16>, now: Millis) -> Result<Admitted, Error> {
        self.meter.count(to);
        match old {
            Some(old) => self.send(old, Reason::Waiting, now),
            None => Err(shift_capped(&self.gates[usize::from(to)].name)),
        }
    }

    /// Lets moved traffic grow by another part of the shift cap when a step has passed.
    fn grow(&mut self, step: Millis, now: Millis) {
        let restarted = self.step.generation != self.shift.generation();
        let passed = now - self.step.start >= step;
        for gate in &mut self.gates {
            gate.moved.advance(gate.shift.cap(), passed, restarted, now);
        }
        if passed || restarted {
            self.step = Step { start: now, generation: self.shift.generation() };
        }
    }

    fn send(&mut self, region: u16, reason: Reason, now: Millis) -> Result<Admitted, Error> {
        self.meter.count(region);
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
            self.meter.regions = names.iter().map(|_| Rate::default()).collect();
        }
        for (gate, limit) in self.gates.iter_mut().zip(&limits.regions) {
            gate.requests.set_cap(limit.requests);
            gate.shift.set_cap(limit.shift);
        }
    }
}

fn shift_capped(region: &str) -> Error {
    Error::new(Kind::ShiftCapped, format!("the shift cap into {region} is reached"))
}
