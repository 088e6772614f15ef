//! Bounds how many objects prefer the same upstream.
//!
//! Rendezvous hashing alone gives some upstreams of a region twice as many objects as others. They
//! evict each other there, and the upstream is busier than the mean. With a bound, an object whose
//! first upstream has its part goes to the next one of its ranking. The order in which objects are
//! given out depends on their hashes only, so that VMs which see the same objects agree without
//! exchanging messages. See docs/design/objects.md.

use clock::Millis;
use std::collections::HashMap;
use std::sync::Arc;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The most objects of an upstream, as a multiple of its part by slots. A smaller one moves more
/// objects when upstreams join or leave.
const BOUND: f64 = 1.25;
/// Added to the bound before a part that depends on the upstream is added and the sum is rounded
/// down: the bounds of all upstreams then don't change together when an object comes or goes.
const ROUNDED_UP: f64 = 0.5;
/// Time after which an object that isn't requested any more is forgotten.
const MEMORY: Millis = Millis(30_000);
/// Time between two assignments.
const INTERVAL: Millis = Millis(1_000);
/// With more objects, upstreams differ little in their number, and an assignment takes long.
const MAX_OBJECTS: usize = 1_024;
/// The most pairs of objects and upstreams that an assignment compares.
const MAX_PAIRS: usize = 200_000;
/// Growth of the number of objects between two assignments from which not all are known yet.
const GROWTH: f64 = 1.05;

/// An upstream to which objects are given.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// The upstream's id.
    pub id: Arc<str>,
    /// Number of requests that it runs concurrently.
    pub slots: u32,
}

/// What an assignment came to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Assignment {
    /// Number of objects that are known.
    pub objects: usize,
    /// Number of upstreams.
    pub upstreams: usize,
    /// The most objects that prefer one upstream.
    pub most: usize,
    /// Number of objects whose preferred upstream isn't the first of their ranking.
    pub moved: usize,
}

/// The objects of a service that are assigned to a region, and their preferred upstreams.
#[derive(Debug, Default)]
pub struct Balance {
    /// When each object was requested last.
    objects: HashMap<u64, Millis>,
    /// The preferred upstreams of objects for which it isn't the first of the ranking.
    moved: HashMap<u64, Arc<str>>,
    /// Number of objects at the last assignment.
    known: usize,
    /// Until when objects are known to be missing, as there was no room for them.
    incomplete_until: Millis,
    latest: Option<Assignment>,
    next: Millis,
}

impl Balance {
    /// Records a request for `object`. At most every second, `upstreams` is called and objects are
    /// assigned anew, unless there are too many or VMs can't know most of them yet. An assignment
    /// that differs from the one before is returned.
    pub fn record<List>(&mut self, object: u64, now: Millis, upstreams: List) -> Option<Assignment>
    where
        List: FnOnce() -> Vec<Upstream>,
    {
        if self.objects.len() <= MAX_OBJECTS || self.objects.contains_key(&object) {
            self.objects.insert(object, now);
        } else {
            self.incomplete_until = now + MEMORY;
        }
        if now < self.next {
            return None;
        }
        self.next = now + INTERVAL;
        self.objects.retain(|_, requested| now < *requested + MEMORY);
        if now < self.incomplete_until {
            self.moved.clear();
            return None;
        }
        let assignment = self.assign(&upstreams())?;
        (self.latest.replace(assignment) != Some(assignment)).then_some(assignment)
    }

    /// The preferred upstream of `object`, if it isn't the first of its ranking.
    pub fn moved(&self, object: u64) -> Option<&Arc<str>> {
        self.moved.get(&object)
    }

    /// While the number of objects grows, VMs know different ones, and the first of the ranking is
    /// what they agree on.
    fn assign(&mut self, upstreams: &[Upstream]) -> Option<Assignment> {
        let count = self.objects.len();
        let is_growing = count as f64 > self.known as f64 * GROWTH;
        self.known = count;
        if count > MAX_OBJECTS || count * upstreams.len() > MAX_PAIRS {
            self.moved.clear();
            return None;
        }
        if is_growing {
            return None;
        }
        let mut objects: Vec<u64> = self.objects.keys().copied().collect();
        objects.sort_unstable();
        let (moved, most) = assign(&objects, upstreams);
        self.moved = moved;
        let moved = self.moved.len();
        Some(Assignment { objects: count, upstreams: upstreams.len(), most, moved })
    }
}

/// Gives each of `objects` to the first upstream of its ranking with fewer objects than its bound.
/// Returns those that don't get the first one of all, and the most objects of an upstream.
fn assign(objects: &[u64], upstreams: &[Upstream]) -> (HashMap<u64, Arc<str>>, usize) {
    let total: f64 = upstreams.iter().map(|each| f64::from(each.slots.max(1))).sum();
    let bounds: Vec<usize> =
        upstreams.iter().map(|each| bound(objects.len() as f64 / total, each)).collect();
    let mut given = vec![0; upstreams.len()];
    let mut moved = HashMap::new();
    for object in objects {
        let rank = |each: &Upstream| xxh3_64_with_seed(each.id.as_bytes(), *object);
        let ranked = upstreams.iter().enumerate().map(|(index, each)| (rank(each), index));
        let ranked: Vec<(u64, usize)> = ranked.collect();
        let has_room = |index: usize| given[index] < bounds[index];
        let first = ranked.iter().max().map(|(_, index)| *index);
        let preferred = ranked.iter().filter(|(_, index)| has_room(*index)).max();
        let Some(preferred) = preferred.map(|(_, index)| *index) else { continue };
        given[preferred] += 1;
        if first != Some(preferred) {
            moved.insert(*object, Arc::clone(&upstreams[preferred].id));
        }
    }
    (moved, given.into_iter().max().unwrap_or_default())
}

/// The most objects of an upstream, with `objects` for each slot of the region.
fn bound(objects: f64, upstream: &Upstream) -> usize {
    let round = xxh3_64(upstream.id.as_bytes()) as f64 / u64::MAX as f64;
    (objects * f64::from(upstream.slots.max(1)) * BOUND + ROUNDED_UP + round).max(1.0) as usize
}
