use super::succession::Phase;
use super::{Bucket, Limit, TOKEN_SPAN, WHOLE};
use clock::Millis;
use std::collections::VecDeque;

/// The most of a cap that is leased out, in millionths; the rest is always the reserve.
const MAX_LEASED: u32 = WHOLE / 10 * 7;
/// Demand counts as at least this part of the cap, so that the first VMs to report some do not get
/// all that can be leased out.
const MIN_DEMAND_PART: f64 = 0.6;
/// A share is offered only if it is worth this many tokens of burst.
pub const MIN_TOKENS: f64 = 3.0;

/// Pause of requests that a limit can never admit.
const LONG_PAUSE: Millis = Millis(300);

/// The cap of an account.
#[derive(Debug)]
pub struct Pool {
    /// The limit over all VMs.
    pub limit: Limit,
    /// What holders may use, in millionths.
    pub leased: u32,
    /// Requests a second over all VMs.
    pub demand: f64,
    /// What is neither leased nor given.
    pub reserve: Bucket,
    /// Tokens that were given and may not be used yet, with the end of their time.
    pub given: VecDeque<(Millis, u32)>,
}

impl Pool {
    /// The pool of an account of which nothing is leased.
    pub fn new(limit: Limit, now: Millis) -> Pool {
        let (leased, demand) = (0, 0.0);
        Pool { limit, leased, demand, reserve: Bucket::new(now), given: VecDeque::new() }
    }

    /// Limits the reserve to what is neither leased nor given and perhaps not used yet.
    pub fn refresh(&mut self, phase: Phase, now: Millis) {
        while self.given.front().is_some_and(|(end, _)| *end <= now) {
            self.given.pop_front();
        }
        let mut limit = self.limit.part(self.free(phase));
        let given: u32 = self.given.iter().map(|(_, count)| count).sum();
        limit.burst = (limit.burst - f64::from(given)).max(0.0);
        self.reserve.set_limit(limit, now);
    }

    /// Gives tokens of the reserve for up to `waiting` requests. Returns how many, and the time after which
    /// the others may come back; 0 if none are left or they may wait, as the reserve `is_filling`.
    pub fn give(
        &mut self,
        waiting: u32,
        is_filling: bool,
        phase: Phase,
        now: Millis,
    ) -> (u32, Millis) {
        self.refresh(phase, now);
        let count = self.reserve.take(waiting, now);
        if count > 0 {
            self.given.push_back((now + TOKEN_SPAN, count));
            self.refresh(phase, now);
        }
        let pause = match count < waiting && !is_filling {
            false => Millis::ZERO,
            true => self.reserve.time_until(1.0).unwrap_or(LONG_PAUSE).max(Millis(1)),
        };
        (count, pause)
    }

    /// The part of the cap that the reserve has, in millionths.
    fn free(&self, phase: Phase) -> u32 {
        let unleased = WHOLE.saturating_sub(self.leased);
        match phase {
            Phase::Closed => 0,
            Phase::Reserve => unleased.min(WHOLE - MAX_LEASED),
            Phase::Settled => unleased,
        }
    }

    /// What may be leased out, in millionths: not the tokens that were given and perhaps not used.
    pub fn spare(&self, phase: Phase) -> u32 {
        if phase != Phase::Settled || self.limit.burst <= 0.0 {
            return 0;
        }
        let given: u32 = self.given.iter().map(|(_, count)| count).sum();
        let given = f64::from(given) / self.limit.burst * f64::from(WHOLE);
        let unused = WHOLE.saturating_sub(self.leased).saturating_sub(given.ceil() as u32);
        unused.min(MAX_LEASED.saturating_sub(self.leased))
    }

    /// Leases `gain` millionths out; returns the tokens of the reserve that come with them.
    pub fn lease(&mut self, gain: u32, phase: Phase, now: Millis) -> u32 {
        let free = self.free(phase);
        let tokens = match free {
            0 => 0,
            _ => self.reserve.take_part(f64::from(gain) / f64::from(free), now),
        };
        self.leased += gain;
        self.refresh(phase, now);
        tokens
    }

    /// The share that a VM's demand is worth.
    pub fn target(&self, demand: f64) -> u32 {
        let total = self.demand.max(self.limit.rate * MIN_DEMAND_PART);
        if demand <= 0.0 || total <= 0.0 {
            return 0;
        }
        let share = (demand / total).min(1.0) * f64::from(MAX_LEASED);
        let share = share as u32;
        match self.limit.part(share).burst >= MIN_TOKENS {
            true => share,
            false => 0,
        }
    }
}
