//! Chooses the region that serves a request and enforces this VM's limits on it.
//!
//! [`Admission`] combines the VM's [`Shift`] with its rate-limit windows, so that a request counts
//! only against the windows of the region that it is sent to. See docs/SHIFTS.md and
//! docs/LIMITS.md.

mod meter;
mod windows;

use crate::planner::{Ack, Demand};
use crate::share::{Configuration, Limits, START_WAIT, limits};
use crate::shift::{Route, Shift, Tick};
use crate::{Index, Regions, region_of};
use clock::Millis;
use errors::{Error, Kind};
use meter::{Meter, Rate};
use std::sync::Arc;
use windows::Windows;

/// Requests that a shift is moving into a region are admitted only while less than 9/10 of the
/// region's request window is used, so that they don't crowd out requests served there already.
const MOVING_LIMIT_NUMERATOR: u32 = 9;
const MOVING_LIMIT_DENOMINATOR: u32 = 10;

/// Decides which requests this VM admits, and into which region.
#[derive(Debug)]
pub struct Admission {
    vm: Arc<str>,
    domain: Arc<str>,
    started: Millis,
    shift: Shift,
    /// The windows of each region, in the deployment's order.
    regions: Vec<Windows>,
    ack: Ack,
    meter: Meter,
    step: Step,
}

/// The current step; the limits on moved traffic rise at its end.
#[derive(Clone, Copy, Debug)]
struct Step {
    start: Millis,
    /// The generation of the shift that the step belongs to.
    generation: u64,
}

/// An admitted request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Admitted {
    /// The number of the region to send the request to.
    pub region: u16,
    /// Why the region was chosen.
    pub reason: Reason,
}

/// Why a request goes to a region.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The region already serves the request's position.
    Serving,
    /// A shift is moving the position there, under the shift cap.
    Moved,
    /// A shift will move the position elsewhere, but its step hasn't begun or a limit of the new
    /// region is reached.
    Waiting,
}

impl Admission {
    /// Creates the admission of the VM `vm` in failure domain `domain`, started at `now`.
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
        let meter = Meter { second_start: now, ..Meter::default() };
        let regions = Vec::new();
        let step = Step { start: now, generation: 0 };
        let mut admission =
            Admission { vm, domain, started: now, shift, regions, ack, meter, step };
        admission.tick(index, Regions::NONE, now);
        admission
    }

    /// Applies a snapshot and the set of regions that are down, and advances shifts and limits.
    ///
    /// Must be called for every new snapshot and at least every 100 ms.
    pub fn tick(&mut self, index: &Index, down: Regions, now: Millis) {
        let snapshot = index.snapshot();
        let configuration = Configuration {
            deployment: &snapshot.deployment,
            preset: &snapshot.preset,
            drains: &snapshot.drains,
        };
        let own_region = region_of(&snapshot.deployment, &self.domain).map(|region| &*region.name);
        let limits =
            limits(&snapshot.plan, configuration, &self.vm, own_region.unwrap_or_default(), now);
        self.set_limits(index.regions(), &limits);
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
        self.advance_step(snapshot.preset.shift_step, now);
        self.ack = Ack {
            stamp: snapshot.plan.stamp(),
            shift: snapshot.plan.shift,
            settled: self.shift.settled(),
        };
        self.meter.advance(now);
    }

    /// Admits a request from `block`, whose home region is `home`, or refuses it unsent.
    ///
    /// `request_hash` is any hash of the request's id; see [`Shift::route`].
    ///
    /// # Errors
    ///
    /// [`Kind::Overloaded`] if this VM's share of the region's limit is used up,
    /// [`Kind::ShiftCapped`] if the request's region is down and the shift cap doesn't yet let the
    /// request move, [`Kind::NoUpstream`] if every region is down, [`Kind::NotReady`] in the first
    /// second after the start.
    pub fn admit(
        &mut self,
        home: u16,
        block: u32,
        request_hash: u32,
        now: Millis,
    ) -> Result<Admitted, Error> {
        if now - self.started < START_WAIT {
            return Err(Error::new(Kind::NotReady, "this VM admits nothing in its first second"));
        }
        self.shift.count_request(now);
        let route = self.shift.route(home, block, request_hash);
        if matches!(route, Route::Move { .. } | Route::Wait(_) | Route::Blocked) {
            self.meter.moving.count += 1;
        }
        match route {
            Route::Stay(region) => self.admit_to(region, Reason::Serving, now),
            Route::Wait(region) => self.admit_to(region, Reason::Waiting, now),
            Route::Moved { to, old } => self.admit_moved(to, old, now),
            Route::Move { to, old } => self.admit_moving(to, old, now),
            Route::Blocked => Err(Error::new(
                Kind::ShiftCapped,
                "the block's region is down and the shift cap delays its move",
            )),
            Route::AllDown => Err(Error::new(Kind::NoUpstream, "every region is down")),
        }
    }

    /// Admits a request into `to` after no upstream of its own region could serve it.
    ///
    /// The request counts as moved, under the shift cap.
    ///
    /// # Errors
    ///
    /// [`Kind::ShiftCapped`] or [`Kind::Overloaded`] if a limit of `to` is reached.
    pub fn fail_over(&mut self, to: u16, now: Millis) -> Result<Admitted, Error> {
        self.admit_moving(to, None, now)
    }

    /// Admits a further attempt of an admitted request into the same region.
    ///
    /// # Errors
    ///
    /// [`Kind::Overloaded`] if this VM's share of the region's limit is used up.
    pub fn retry(&mut self, region: u16, now: Millis) -> Result<(), Error> {
        let windows = &mut self.regions[usize::from(region)];
        let admitted = windows.requests.admit(now);
        admitted.map_err(|_| {
            Error::new(
                Kind::Overloaded,
                format!("this VM's share of region {} is used up", windows.name),
            )
        })
    }

    /// The region whose entry VMs look-ups return for `block`, whose home region is `home`.
    pub fn serving_region(&self, home: u16, block: u32) -> u16 {
        self.shift.serving_region(home, block)
    }

    /// The plan that this VM holds and how much of its shift is done, as reported to the planner.
    pub fn ack(&self) -> Ack {
        self.ack
    }

    /// The demand of this VM's callers, as reported to the planner.
    pub fn demand(&self) -> Demand {
        let regions = self.meter.regions.iter().map(Rate::rounded_up).collect();
        Demand { regions, moving: self.meter.moving.rounded_up() }
    }

    /// Admits a request whose position is moving to `to`; `old` serves it while limits of `to` are
    /// reached.
    fn admit_moving(&mut self, to: u16, old: Option<u16>, now: Millis) -> Result<Admitted, Error> {
        let windows = &mut self.regions[usize::from(to)];
        let limit = windows.requests.cap() * MOVING_LIMIT_NUMERATOR / MOVING_LIMIT_DENOMINATOR;
        if windows.requests.used(now) >= limit {
            return self.fall_back(to, old, now);
        }
        let admitted = windows.shift.check(now).is_ok() && windows.moved.window.admit(now).is_ok();
        self.shift.count_move(to, admitted, now);
        if !admitted {
            return self.fall_back(to, old, now);
        }
        // Nothing was admitted since the check, so the window still has room.
        let _ = windows.shift.admit(now);
        self.admit_to(to, Reason::Moved, now)
    }

    /// Admits a request whose position has moved to `to`; `old` serves what `to` isn't warm for.
    fn admit_moved(&mut self, to: u16, old: Option<u16>, now: Millis) -> Result<Admitted, Error> {
        let windows = &mut self.regions[usize::from(to)];
        let full = old.is_some() && windows.requests.check(now).is_err();
        if !full && windows.moved.window.admit(now).is_ok() {
            return self.admit_to(to, Reason::Serving, now);
        }
        self.meter.moving.count += 1;
        self.fall_back(to, old, now)
    }

    /// Admits a request into `old` because `to` can't take it, or refuses it without an `old`.
    fn fall_back(&mut self, to: u16, old: Option<u16>, now: Millis) -> Result<Admitted, Error> {
        self.meter.count(to);
        match old {
            Some(old) => self.admit_to(old, Reason::Waiting, now),
            None => Err(shift_capped(&self.regions[usize::from(to)].name)),
        }
    }

    /// Raises the limits of moved traffic when a step has ended, and resets them for a new shift.
    fn advance_step(&mut self, step: Millis, now: Millis) {
        let restarted = self.step.generation != self.shift.generation();
        let passed = now - self.step.start >= step;
        for windows in &mut self.regions {
            windows.moved.advance(windows.shift.cap(), passed, restarted, now);
        }
        if passed || restarted {
            self.step = Step { start: now, generation: self.shift.generation() };
        }
    }

    /// Admits a request into `region` unless this VM's share of its limit is used up.
    fn admit_to(&mut self, region: u16, reason: Reason, now: Millis) -> Result<Admitted, Error> {
        self.meter.count(region);
        let windows = &mut self.regions[usize::from(region)];
        let admitted = windows.requests.admit(now);
        admitted.map_err(|_| {
            Error::new(
                Kind::Overloaded,
                format!("this VM's share of region {} is used up", windows.name),
            )
        })?;
        Ok(Admitted { region, reason })
    }

    /// Sets the caps of all windows. What they have admitted is kept by the region's name.
    fn set_limits(&mut self, names: &[Arc<str>], limits: &Limits) {
        let same = self.regions.iter().map(|windows| &windows.name).eq(names.iter());
        if !same {
            let mut old = std::mem::take(&mut self.regions);
            self.regions = names.iter().map(|name| Windows::take_or_new(&mut old, name)).collect();
            self.meter.regions = names.iter().map(|_| Rate::default()).collect();
        }
        for (windows, limit) in self.regions.iter_mut().zip(&limits.regions) {
            windows.requests.set_cap(limit.requests);
            windows.shift.set_cap(limit.shift);
        }
    }
}

fn shift_capped(region: &str) -> Error {
    Error::new(Kind::ShiftCapped, format!("the shift cap into {region} is reached"))
}
