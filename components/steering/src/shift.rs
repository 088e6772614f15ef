//! Moves one VM's traffic from the regions that serve it to those that the plan assigns.
//!
//! Each VM moves its own traffic in batches of positions, under its own share of the shift cap,
//! starting from where this VM serves the traffic. So the cap holds whatever plan a VM holds, and a
//! shift continues while no planner runs. See docs/SHIFTS.md.

mod route;
mod step;
mod target;

pub use route::Route;

use crate::{Plan, Regions, SHARE_SCALE, Split, position};
use clock::Millis;
use std::sync::Arc;
use step::{Requests, Step};
use target::{Span, Target};

/// A fine position is a block's position, followed by this many bits of a hash of the request, so
/// that the requests of one block can move one after the other.
const HASH_BITS: u32 = 32;

/// The end of the fine positions, exclusive.
const POSITION_END: u64 = (SHARE_SCALE as u64) << HASH_BITS;

/// The part of the shift limit that the open batches should use; the rest is for bursts.
const LIMIT_USE: f64 = 0.8;

/// The most by which the size of the open batches is multiplied from one step to the next.
const GROWTH_MAX: f64 = 4.0;

/// The most spans of `origin`. A change of target that needs more waits until the current shift has
/// ended.
const MAX_SPANS: usize = 8;

/// The state of the shift of one VM's traffic.
///
/// Positions below `moved_end` have moved. Those from there to `previous_end` are the batch of the
/// previous step, and those up to `current_end` the batch of the current step. Both batches are
/// open: their requests move under the shift cap, because caches are still cold for blocks that
/// moved late in the previous step.
#[derive(Clone, Debug)]
pub struct Shift {
    regions: Arc<[Arc<str>]>,
    /// Where positions were served before the shift.
    origin: Vec<Span>,
    /// Where the current shift moves them.
    target: Target,
    /// The latest target; a shift to it starts when the current one allows.
    wanted: Target,
    moved_end: u64,
    previous_end: u64,
    current_end: u64,
    generation: u64,
    /// When the current shift started at this VM.
    started: Millis,
    /// The largest part of all traffic that the current shift can move.
    moving_part: f64,
    step: Step,
    requests: Requests,
    /// This VM's shift limit into each region, in requests a second.
    limits: Vec<u32>,
}

/// The inputs of a shift at each tick.
#[derive(Clone, Copy, Debug)]
pub struct Tick<'a> {
    /// The plan in force at this VM.
    pub plan: &'a Plan,
    /// The names of the deployment's regions, in its order.
    pub regions: &'a Arc<[Arc<str>]>,
    /// Regions that are drained or unreachable.
    pub down: Regions,
    /// This VM's shift limit into each region, in requests a second.
    pub limits: &'a [u32],
    /// The shift cap into a region over all VMs, in requests a second.
    pub cap: u32,
    /// The duration of a step: how long a batch is served in its new region before the next moves.
    pub step: Millis,
    /// The longest lease of a caller.
    pub lease: Millis,
    /// The time.
    pub now: Millis,
}

impl Shift {
    /// Creates the state of a VM that has just started; it continues from the plan's progress.
    pub fn new(tick: &Tick<'_>) -> Shift {
        let renumber = |split: &Split| split.renumber(&tick.plan.regions, tick.regions);
        let span = |segment: &crate::Segment| Span {
            until: fine_position(segment.until),
            target: Target { split: renumber(&segment.split), down: Regions::NONE },
            cold: Regions::NONE,
        };
        let target = Target { split: renumber(&tick.plan.to), down: Regions::NONE };
        let moved_end = fine_position(tick.plan.settled);
        Shift {
            regions: Arc::clone(tick.regions),
            origin: tick.plan.from.iter().map(span).collect(),
            wanted: target.clone(),
            target,
            moved_end,
            previous_end: moved_end,
            current_end: moved_end,
            generation: 0,
            started: tick.now,
            moving_part: 1.0,
            step: Step::new(tick.now, tick.regions.len()),
            requests: Requests::default(),
            limits: tick.limits.to_vec(),
        }
    }

    /// Where a request from `block`, whose home region is `home`, is sent.
    ///
    /// `request_hash`, any hash of the request's id, spreads the requests of one block over fine
    /// positions, so that a block too large for the cap moves in parts.
    pub fn route(&self, home: u16, block: u32, request_hash: u32) -> Route {
        let at = fine_position(position(block)) | u64::from(request_hash);
        let Some(new) = self.target.region(home, block) else {
            return Route::AllDown;
        };
        match self.origin_region(at, home, block) {
            Some(old) if old == new => Route::Stay(old),
            old if at < self.moved_end => Route::Moved { to: new, old },
            old if at < self.current_end => Route::Move { to: new, old },
            Some(old) => Route::Wait(old),
            None => Route::Blocked,
        }
    }

    /// The region whose entry VMs look-ups return for `block`, whose home region is `home`.
    ///
    /// Callers stay with the VMs of the old region until their block has moved, even if that
    /// region's upstreams are down, because those VMs have the shares to move it. If the VMs are
    /// down too, the look-up itself falls back to the next region.
    pub fn serving_region(&self, home: u16, block: u32) -> u16 {
        let at = fine_position(position(block));
        let new = self.target.region(home, block).unwrap_or(home);
        let span = self.origin.iter().find(|span| at < span.until);
        match span.and_then(|span| span.target.region(home, block)) {
            Some(old) if at >= self.moved_end => old,
            _ => new,
        }
    }

    /// Counts a request at this VM, whatever its route.
    pub fn count_request(&mut self, now: Millis) {
        self.requests.count(now);
    }

    /// Counts a request to be moved to `to`, and whether the shift cap admitted it.
    ///
    /// A request for which `to` has no capacity must not be counted: its old region serves it
    /// whether or not the position has moved, and the shift may continue.
    pub fn count_move(&mut self, to: u16, admitted: bool, now: Millis) {
        self.step.count(to, &self.limits, now);
        self.step.deferred |= !admitted;
    }

    /// Applies the plan and the set of regions that are down, and ends steps that are due.
    pub fn tick(&mut self, tick: &Tick<'_>) {
        if self.origin.is_empty() && !tick.plan.from.is_empty() {
            let generation = self.generation + 1;
            *self = Shift { requests: self.requests.clone(), generation, ..Shift::new(tick) };
        }
        self.renumber(tick.regions);
        self.limits.clear();
        self.limits.extend_from_slice(tick.limits);
        let split = tick.plan.to.renumber(&tick.plan.regions, tick.regions);
        self.wanted = Target { split, down: tick.down };
        let newly_down = !self.target.down.includes(tick.down);
        if newly_down || (self.wanted != self.target && self.has_no_open_batch()) {
            self.start_shift(tick);
        }
        if tick.now - self.step.start >= tick.step {
            self.end_step(tick);
        }
        self.drop_origin(tick);
    }

    /// Drops the old origin once every VM has moved its traffic and every caller has renewed its
    /// lease.
    ///
    /// While a region is down, a VM can't know whether other VMs have moved their traffic, so the
    /// origin is kept.
    fn drop_origin(&mut self, tick: &Tick<'_>) {
        let ended = self.moved_end == POSITION_END && self.wanted == self.target;
        let renewed = tick.now - self.started >= tick.lease;
        if ended && renewed && tick.plan.is_settled() && self.target.down == Regions::NONE {
            self.origin.clear();
            let cold = Regions::NONE;
            self.origin.push(Span { until: POSITION_END, target: self.target.clone(), cold });
        }
    }

    /// A number that rises whenever a shift starts at this VM.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// How much of the plan's shift this VM has done, in units of [`SHARE_SCALE`].
    pub fn settled(&self) -> u32 {
        if self.target.split != self.wanted.split {
            return 0;
        }
        (self.moved_end >> HASH_BITS) as u32
    }

    fn has_no_open_batch(&self) -> bool {
        self.moved_end == self.current_end
    }

    /// The region that served a position before the shift; `None` if it is down or was down since.
    fn origin_region(&self, at: u64, home: u16, block: u32) -> Option<u16> {
        let span = self.origin.iter().find(|span| at < span.until)?;
        let old = span.target.region(home, block)?;
        let unusable = self.wanted.down.union(self.target.down).union(span.cold);
        (!unusable.contains(old)).then_some(old)
    }

    /// Starts a shift to the wanted target from where this VM serves its traffic now.
    fn start_shift(&mut self, tick: &Tick<'_>) {
        let moved =
            Span { until: self.moved_end, target: self.target.clone(), cold: Regions::NONE };
        let mut origin = vec![moved];
        origin.extend(self.origin.drain(..).filter(|span| span.until > self.moved_end));
        origin.retain(|span| span.until > 0);
        origin.iter_mut().for_each(|span| span.cold = span.cold.union(self.target.down));
        origin.dedup_by(|later, earlier| {
            let same = later.target == earlier.target && later.cold == earlier.cold;
            earlier.until = if same { later.until } else { earlier.until };
            same
        });
        self.moving_part =
            origin.iter().map(|span| span.target.moved_part(&self.wanted)).fold(0.0, f64::max);
        self.origin = origin;
        self.target = self.wanted.clone();
        self.generation += 1;
        self.started = tick.now;
        self.moved_end = 0;
        self.previous_end = 0;
        self.current_end = 0;
        self.open_batch(self.estimated_batch().min(self.batch_max(tick)), tick);
    }

    /// Opens the next batch, or takes back a part of the open batches if the cap deferred requests.
    fn end_step(&mut self, tick: &Tick<'_>) {
        let changed = self.wanted != self.target && self.origin.len() < MAX_SPANS;
        let open = self.current_end - self.moved_end;
        let fitting = match self.step.peak {
            0.0 => self.estimated_batch(),
            peak => (open as f64 * (LIMIT_USE / peak).min(GROWTH_MAX)) as u64,
        };
        let fitting = fitting.min(self.batch_max(tick));
        if self.step.deferred {
            let kept = if changed { 0 } else { fitting.min(open / 2) };
            self.current_end = self.moved_end + kept;
            self.previous_end = self.previous_end.min(self.current_end);
        } else {
            self.moved_end = self.previous_end;
            self.previous_end = self.current_end;
        }
        if changed && self.has_no_open_batch() {
            self.start_shift(tick);
            return;
        }
        let grows = !changed && !self.step.deferred;
        let batch = fitting.saturating_sub(self.previous_end - self.moved_end);
        self.open_batch(if grows { batch } else { self.current_end - self.previous_end }, tick);
    }

    /// Starts a step whose batch has `size` fine positions. Without an open batch it has at least
    /// one, so that a shift always advances.
    fn open_batch(&mut self, size: u64, tick: &Tick<'_>) {
        let least = if self.has_no_open_batch() && self.wanted == self.target { 1 } else { 0 };
        self.current_end = (self.previous_end + size.max(least)).min(POSITION_END);
        self.step = Step::new(tick.now, tick.regions.len());
    }

    /// The most fine positions that may be open under the cap over all VMs.
    ///
    /// It also binds a VM with little traffic to move, because its look-ups send callers of other
    /// VMs to the region that positions have moved to.
    fn batch_max(&self, tick: &Tick<'_>) -> u64 {
        let moving_rate = f64::from(tick.plan.demand) * self.moving_part;
        let part = LIMIT_USE * f64::from(tick.cap) / moving_rate.max(1.0);
        (POSITION_END as f64 * part.min(1.0)) as u64
    }

    /// The fine positions that fit this VM's limit if its requests are spread evenly over positions
    /// and all move to one region.
    fn estimated_batch(&self) -> u64 {
        let limit = self.limits.iter().copied().filter(|limit| *limit > 0).min().unwrap_or(0);
        let rate = self.requests.peak().max(1);
        let part = LIMIT_USE * f64::from(limit) / f64::from(rate);
        (POSITION_END as f64 * part.min(1.0)) as u64
    }

    /// Rewrites all splits for a new list of regions, matched by name.
    fn renumber(&mut self, regions: &Arc<[Arc<str>]>) {
        if self.regions == *regions {
            return;
        }
        self.origin.iter_mut().for_each(|span| span.cold = Regions::NONE);
        let targets = self.origin.iter_mut().map(|span| &mut span.target);
        for target in targets.chain([&mut self.target]) {
            target.split = target.split.renumber(&self.regions, regions);
            target.down = Regions::NONE;
        }
        self.regions = Arc::clone(regions);
    }
}

/// The first fine position of a block's position.
fn fine_position(position: u32) -> u64 {
    u64::from(position) << HASH_BITS
}
