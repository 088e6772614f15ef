//! How a node moves its traffic from where it is served to where the plan wants it.
//!
//! Each node moves its own traffic in slabs of positions, under its own share of the shift cap,
//! from where it serves the traffic itself. So the cap holds whatever plan a node holds, and a
//! shift goes on while the planner is away. See docs/SHIFTS.md.

mod aim;
mod route;
mod step;

pub use route::Route;

use crate::{Plan, Regions, SHARE_SCALE, Split, position};
use aim::{Aim, Track};
use clock::Millis;
use std::sync::Arc;
use step::{Demand, Step};

/// Bits of a fine position that tell the requests of one position apart.
const DRAW_BITS: u32 = 32;

/// The fine position after the last.
const END: u64 = (SHARE_SCALE as u64) << DRAW_BITS;

/// The part of the limit that the slabs under way are meant to use, so that bursts fit too.
const FILL: f64 = 0.8;

/// The most by which the slabs under way grow from one step to the next.
const GROWTH: f64 = 4.0;

/// The most changes of target that may be mixed before a shift has to end.
const MAX_SEGMENTS: usize = 8;

/// What one node knows of its own traffic's shift.
///
/// Positions below `warm` have moved. Those from `warm` to `settled` have had a step to move, and
/// those from `settled` to `progress` are having theirs; both are under the shift cap, because
/// caches are still cold for the blocks that came late in their step.
#[derive(Clone, Debug)]
pub struct Shift {
    regions: Arc<[Arc<str>]>,
    base: Vec<Track>,
    target: Aim,
    wanted: Aim,
    warm: u64,
    settled: u64,
    progress: u64,
    generation: u64,
    started: Millis,
    moving: f64,
    step: Step,
    demand: Demand,
    limits: Vec<u32>,
}

/// What the rest of the node tells a shift at each tick.
#[derive(Clone, Copy, Debug)]
pub struct Tick<'a> {
    /// The plan in force at this node.
    pub plan: &'a Plan,
    /// The names of the deployment's regions, in its order.
    pub regions: &'a Arc<[Arc<str>]>,
    /// Regions that are drained or can't be reached.
    pub down: Regions,
    /// The node's shift limit into each region, in requests a second.
    pub limits: &'a [u32],
    /// The shift cap into a region over all nodes, in requests a second.
    pub cap: u32,
    /// How long a slab must serve before the next one moves.
    pub step: Millis,
    /// The longest lease of a caller.
    pub lease: Millis,
    /// The time.
    pub now: Millis,
}

impl Shift {
    /// The state of a node that has just started and moved nothing itself.
    pub fn new(tick: &Tick<'_>) -> Shift {
        let renumber = |split: &Split| split.renumber(&tick.plan.regions, tick.regions);
        let track = |segment: &crate::Segment| Track {
            until: fine(segment.until),
            aim: Aim { split: renumber(&segment.split), lost: Regions::NONE },
            cold: Regions::NONE,
        };
        let target = Aim { split: renumber(&tick.plan.to), lost: Regions::NONE };
        let settled = fine(tick.plan.settled);
        Shift {
            regions: Arc::clone(tick.regions),
            base: tick.plan.from.iter().map(track).collect(),
            wanted: target.clone(),
            target,
            warm: settled,
            settled,
            progress: settled,
            generation: 0,
            started: tick.now,
            moving: 1.0,
            step: Step::new(tick.now, tick.regions.len()),
            demand: Demand::default(),
            limits: tick.limits.to_vec(),
        }
    }

    /// Where a request of `block` of region `home` is sent.
    ///
    /// `draw` tells the requests of one block apart, so that a block too large for the cap moves
    /// in parts; any hash of the request's id serves.
    pub fn route(&self, home: u16, block: u32, draw: u32) -> Route {
        let at = fine(position(block)) | u64::from(draw);
        let Some(new) = self.target.region(home, block) else {
            return Route::Lost;
        };
        match self.old(at, home, block) {
            Some(old) if old == new => Route::Stay(old),
            old if at < self.warm => Route::Moved { to: new, old },
            old if at < self.progress => Route::Move { to: new, old },
            Some(old) => Route::Wait(old),
            None => Route::Held,
        }
    }

    /// The region in which look-ups name entry VMs for `block`.
    ///
    /// Callers stay with the VMs of a region that is lost or being left until their block has
    /// moved, since those VMs have the shares to move it; if the VMs are lost too, the look-up goes
    /// on to the next region by itself.
    pub fn serving_region(&self, home: u16, block: u32) -> u16 {
        let at = fine(position(block));
        let moved = self.target.region(home, block).unwrap_or(home);
        let track = self.base.iter().find(|track| at < track.until);
        match track.and_then(|track| track.aim.region(home, block)) {
            Some(old) if at >= self.warm => old,
            _ => moved,
        }
    }

    /// Counts a request of this node, whatever its route.
    pub fn seen(&mut self, now: Millis) {
        self.demand.count(now);
    }

    /// Counts an attempt to move a request to `to` and whether the shift cap admitted it.
    ///
    /// A request that finds `to` full isn't an attempt: it stays with its old region whether or not
    /// the position has moved, and the shift may go on.
    pub fn attempt(&mut self, to: u16, admitted: bool, now: Millis) {
        self.step.count(to, &self.limits, now);
        self.step.deferred |= !admitted;
    }

    /// Takes over a new plan or a change of the regions that are up, and ends steps.
    pub fn tick(&mut self, tick: &Tick<'_>) {
        if self.base.is_empty() && !tick.plan.from.is_empty() {
            let generation = self.generation + 1;
            *self = Shift { demand: self.demand.clone(), generation, ..Shift::new(tick) };
        }
        self.renumber(tick.regions);
        self.limits.clear();
        self.limits.extend_from_slice(tick.limits);
        let split = tick.plan.to.renumber(&tick.plan.regions, tick.regions);
        self.wanted = Aim { split, lost: tick.down };
        let lost_more = !self.target.lost.includes(tick.down);
        if lost_more || (self.wanted != self.target && self.is_closed()) {
            self.rebase(tick);
        }
        if tick.now - self.step.start >= tick.step {
            self.end_step(tick);
        }
        self.forget(tick);
    }

    /// Forgets where traffic came from once every node has moved it and every caller has renewed.
    ///
    /// While a region is lost no node can know that of the others, so nothing is forgotten.
    fn forget(&mut self, tick: &Tick<'_>) {
        let ended = self.warm == END && self.wanted == self.target;
        let renewed = tick.now - self.started >= tick.lease;
        if ended && renewed && tick.plan.is_settled() && self.target.lost == Regions::NONE {
            self.base.clear();
            let cold = Regions::NONE;
            self.base.push(Track { until: END, aim: self.target.clone(), cold });
        }
    }

    /// Rises whenever a shift starts at this node.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// How much of the plan's shift this node has done, in units of [`SHARE_SCALE`].
    pub fn settled(&self) -> u32 {
        if self.target.split != self.wanted.split {
            return 0;
        }
        (self.warm >> DRAW_BITS) as u32
    }

    fn is_closed(&self) -> bool {
        self.warm == self.progress
    }

    fn old(&self, at: u64, home: u16, block: u32) -> Option<u16> {
        let track = self.base.iter().find(|track| at < track.until)?;
        let old = track.aim.region(home, block)?;
        let lost = self.wanted.lost.union(self.target.lost).union(track.cold);
        (!lost.contains(old)).then_some(old)
    }

    /// Starts a shift to the wanted target from where this node serves its traffic now.
    fn rebase(&mut self, tick: &Tick<'_>) {
        let moved = Track { until: self.warm, aim: self.target.clone(), cold: Regions::NONE };
        let mut base = vec![moved];
        base.extend(self.base.drain(..).filter(|track| track.until > self.warm));
        base.retain(|track| track.until > 0);
        base.iter_mut().for_each(|track| track.cold = track.cold.union(self.target.lost));
        base.dedup_by(|later, earlier| {
            let same = later.aim == earlier.aim && later.cold == earlier.cold;
            earlier.until = if same { later.until } else { earlier.until };
            same
        });
        self.moving =
            base.iter().map(|track| track.aim.moved_part(&self.wanted)).fold(0.0, f64::max);
        self.base = base;
        self.target = self.wanted.clone();
        self.generation += 1;
        self.started = tick.now;
        self.warm = 0;
        self.settled = 0;
        self.progress = 0;
        self.open(self.guess().min(self.pace(tick)), tick);
    }

    /// Lets the slabs of the last step go on, or takes some of them back if requests had to wait.
    fn end_step(&mut self, tick: &Tick<'_>) {
        let changed = self.wanted != self.target && self.base.len() < MAX_SEGMENTS;
        let zone = self.progress - self.warm;
        let fitting = match self.step.peak {
            0.0 => self.guess(),
            peak => (zone as f64 * (FILL / peak).min(GROWTH)) as u64,
        };
        let fitting = fitting.min(self.pace(tick));
        if self.step.deferred {
            let kept = if changed { 0 } else { fitting.min(zone / 2) };
            self.progress = self.warm + kept;
            self.settled = self.settled.min(self.progress);
        } else {
            self.warm = self.settled;
            self.settled = self.progress;
        }
        if changed && self.is_closed() {
            self.rebase(tick);
            return;
        }
        let more = !changed && !self.step.deferred;
        let slab = fitting.saturating_sub(self.settled - self.warm);
        self.open(if more { slab } else { self.progress - self.settled }, tick);
    }

    fn open(&mut self, slab: u64, tick: &Tick<'_>) {
        let least = if self.is_closed() && self.wanted == self.target { 1 } else { 0 };
        self.progress = (self.settled + slab.max(least)).min(END);
        self.step = Step::new(tick.now, tick.regions.len());
    }

    /// The slabs that fit the cap over all nodes.
    ///
    /// A node with little to move keeps to it too, because its look-ups send the callers of others
    /// to where the position has moved.
    fn pace(&self, tick: &Tick<'_>) -> u64 {
        let moving = f64::from(tick.plan.demand) * self.moving;
        let part = FILL * f64::from(tick.cap) / moving.max(1.0);
        (END as f64 * part.min(1.0)) as u64
    }

    /// A slab that fits if requests are spread evenly and all of them move to one region.
    fn guess(&self) -> u64 {
        let limit = self.limits.iter().copied().filter(|limit| *limit > 0).min().unwrap_or(0);
        let demand = self.demand.peak().max(1);
        let part = FILL * f64::from(limit) / f64::from(demand);
        (END as f64 * part.min(1.0)) as u64
    }

    fn renumber(&mut self, regions: &Arc<[Arc<str>]>) {
        if self.regions == *regions {
            return;
        }
        self.base.iter_mut().for_each(|track| track.cold = Regions::NONE);
        let aims = self.base.iter_mut().map(|track| &mut track.aim);
        for aim in aims.chain([&mut self.target]) {
            aim.split = aim.split.renumber(&self.regions, regions);
            aim.lost = Regions::NONE;
        }
        self.regions = Arc::clone(regions);
    }
}

fn fine(position: u32) -> u64 {
    u64::from(position) << DRAW_BITS
}
