//! The baseline policies, which the policy in force is measured against.

use super::{Choice, Pick, Pool, Reason, Task, Unavailable};
use clock::Millis;
use rand::{Rng, RngExt};
use std::sync::Arc;

/// Chooses every upstream with the same probability.
#[derive(Debug, Default)]
pub struct Random;

/// Chooses the upstreams in turn.
#[derive(Debug, Default)]
pub struct RoundRobin {
    next: usize,
}

/// Chooses the upstream with the lowest load in its last report.
#[derive(Debug, Default)]
pub struct LeastReported;

/// Draws two upstreams and chooses the one with fewer requests in flight from this entry VM.
#[derive(Debug, Default)]
pub struct TwoChoices;

impl Choice for Random {
    fn name(&self) -> &'static str {
        "random"
    }

    fn choose(
        &mut self,
        pool: &mut Pool,
        task: &Task,
        _now: Millis,
        rng: &mut dyn Rng,
    ) -> Result<Pick, Unavailable> {
        let eligible = pool.eligible(task)?;
        Ok(pick(pool, draw(&eligible, rng)))
    }
}

impl Choice for RoundRobin {
    fn name(&self) -> &'static str {
        "round robin"
    }

    fn choose(
        &mut self,
        pool: &mut Pool,
        task: &Task,
        _now: Millis,
        _rng: &mut dyn Rng,
    ) -> Result<Pick, Unavailable> {
        let eligible = pool.eligible(task)?;
        let after = eligible.iter().copied().find(|&index| index >= self.next);
        let index = after.unwrap_or(eligible[0]);
        self.next = index + 1;
        Ok(pick(pool, index))
    }
}

impl Choice for LeastReported {
    fn name(&self) -> &'static str {
        "least reported"
    }

    fn choose(
        &mut self,
        pool: &mut Pool,
        task: &Task,
        _now: Millis,
        rng: &mut dyn Rng,
    ) -> Result<Pick, Unavailable> {
        let eligible = pool.eligible(task)?;
        let load = |index: usize| {
            let report = pool.members()[index].report;
            report.map_or(0, |report| report.running + report.waiting)
        };
        let least = eligible.iter().map(|&index| load(index)).min().unwrap_or(0);
        let equal = eligible.iter().copied().filter(|&index| load(index) == least);
        let equal: Vec<usize> = equal.collect();
        Ok(pick(pool, draw(&equal, rng)))
    }
}

impl Choice for TwoChoices {
    fn name(&self) -> &'static str {
        "two choices"
    }

    fn choose(
        &mut self,
        pool: &mut Pool,
        task: &Task,
        _now: Millis,
        rng: &mut dyn Rng,
    ) -> Result<Pick, Unavailable> {
        let eligible = pool.eligible(task)?;
        let first = draw(&eligible, rng);
        let second = draw(&eligible, rng);
        let in_flight = |index: usize| pool.members()[index].in_flight();
        let index = if in_flight(second) < in_flight(first) { second } else { first };
        Ok(pick(pool, index))
    }
}

fn draw(indices: &[usize], rng: &mut dyn Rng) -> usize {
    indices[rng.random_range(0..indices.len())]
}

fn pick(pool: &Pool, index: usize) -> Pick {
    let name = Arc::clone(&pool.members()[index].name);
    Pick { index, name, reason: Reason::Baseline }
}
