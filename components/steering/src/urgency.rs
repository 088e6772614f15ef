//! Who is refused first when a service has too little room.
//!
//! Requests wait in the queues of upstreams only. The part of a queue that a request may join shrinks
//! by the part that more urgent ones have among the requests that the VM has lately got for the
//! service, so that the end of every queue is kept for these, whichever VM they arrive at. See
//! docs/design/urgency.md.

use clock::Millis;
use std::collections::HashMap;
use std::sync::Arc;

/// How long a priority counts after its last request.
const MEMORY: Millis = Millis(10_000);
/// Time constant of the shares that are served.
const AVERAGING_TIME: Millis = Millis(4_000);
/// Priorities that are told apart for one service; the ones beyond count as the least urgent.
const MAX_CLASSES: usize = 8;
/// A priority that is served less than this part as often as all requests gets the room of the most
/// urgent one. No kind of request may be served less than a quarter as often.
const FLOOR: f64 = 0.4;
/// The least part of a queue that a request may join, so that it is served while slots are free.
const MIN_ROOM: f64 = 0.25;
/// Requests of a priority below which its share says nothing.
const MIN_REQUESTS: f64 = 8.0;

/// The requests of one priority, with counts that decay.
#[derive(Debug)]
struct Class {
    priority: u32,
    asked: f64,
    served: f64,
    updated: Millis,
}

impl Class {
    /// The decayed count of requests at `now`.
    fn asked_at(&self, now: Millis) -> f64 {
        self.asked * self.kept(now)
    }

    /// The part of the counts that is left at `now`.
    fn kept(&self, now: Millis) -> f64 {
        (-((now - self.updated).0 as f64) / AVERAGING_TIME.0 as f64).exp()
    }

    /// Lets the counts decay up to `now`.
    fn advance(&mut self, now: Millis) {
        let kept = self.kept(now);
        self.asked *= kept;
        self.served *= kept;
        self.updated = now;
    }
}

/// What one VM knows of the priorities of every service.
#[derive(Debug, Default)]
pub struct Urgency {
    by_service: HashMap<Arc<str>, Vec<Class>>,
}

impl Urgency {
    /// The part of the queue of an upstream of `service` that a request of `priority` may join, above
    /// 0 and at most 1. It is 1 where all requests have the same priority.
    pub fn room(&mut self, service: &Arc<str>, priority: u32, now: Millis) -> f64 {
        let classes = self.by_service.entry(Arc::clone(service)).or_default();
        classes.retain(|class| now < class.updated + MEMORY);
        let is_known = classes.iter().any(|class| class.priority == priority);
        if !is_known && classes.len() < MAX_CLASSES {
            classes.push(Class { priority, asked: 0.0, served: 0.0, updated: now });
        }
        let more_urgent = classes.iter().filter(|class| class.priority < priority);
        if is_starved(classes, priority, now) {
            return 1.0;
        }
        let asked: f64 = classes.iter().map(|class| class.asked_at(now)).sum();
        let more_urgent: f64 = more_urgent.map(|class| class.asked_at(now)).sum();
        match asked > 0.0 {
            true => (1.0 - more_urgent / asked).max(MIN_ROOM),
            false => 1.0,
        }
    }

    /// Records whether a request of `priority` was sent to an upstream of `service` or refused.
    pub fn record(&mut self, service: &str, priority: u32, served: bool, now: Millis) {
        let classes = self.by_service.get_mut(service);
        let class =
            classes.and_then(|classes| classes.iter_mut().find(|class| class.priority == priority));
        if let Some(class) = class {
            class.advance(now);
            class.asked += 1.0;
            class.served += f64::from(u8::from(served));
        }
    }

    /// Forgets the services for which `is_known` is false.
    pub fn retain<Known>(&mut self, is_known: Known)
    where
        Known: Fn(&str) -> bool,
    {
        self.by_service.retain(|service, _| is_known(service));
    }

    /// The number of services that are known.
    pub fn services(&self) -> usize {
        self.by_service.len()
    }
}

/// Whether requests of `priority` are served much less often than all.
fn is_starved(classes: &[Class], priority: u32, now: Millis) -> bool {
    let Some(class) = classes.iter().find(|class| class.priority == priority) else {
        return false;
    };
    let asked: f64 = classes.iter().map(|class| class.asked_at(now)).sum();
    let served: f64 = classes.iter().map(|class| class.served * class.kept(now)).sum();
    class.asked_at(now) >= MIN_REQUESTS && class.served / class.asked < FLOOR * served / asked
}
