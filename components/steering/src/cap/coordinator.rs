mod giving;

use super::lease::{Lease, Share};
use super::pool::Pool;
use super::succession::{Phase, Succession};
use super::term::SPEED_MARGIN;
use super::{Limit, Reply, Report, Start};
use clock::Millis;
use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

/// Leases the shares of all accounts out.
#[derive(Debug)]
pub struct Coordinator {
    epoch: u64,
    accounts: HashMap<u64, Pool>,
    holders: HashMap<Arc<str>, Lease>,
    succession: Succession,
    sequence: u32,
}

impl Coordinator {
    /// The coordinator of an epoch that begins at `now`, on `vm`.
    pub fn new(vm: &Arc<str>, epoch: u64, start: Start, now: Millis) -> Coordinator {
        let mut coordinator = Coordinator {
            epoch,
            accounts: HashMap::new(),
            holders: HashMap::new(),
            succession: Succession::new(vm, start),
            sequence: 0,
        };
        coordinator.settle(now);
        coordinator
    }

    /// Its epoch.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Puts the limits of a configuration in force. Shares are parts of a limit and stay.
    pub fn configure<Limits>(&mut self, limits: Limits, now: Millis)
    where
        Limits: IntoIterator<Item = (u64, Limit)>,
    {
        let limits: HashMap<u64, Limit> = limits.into_iter().collect();
        for (key, pool) in &mut self.accounts {
            pool.limit = limits.get(key).copied().unwrap_or_default();
        }
        for (key, limit) in limits {
            self.accounts.entry(key).or_insert_with(|| Pool::new(limit, now));
        }
        self.settle(now);
        self.refresh(now);
    }

    /// Notes that the row named this coordinator at `when`, and whether it names no other VM.
    pub fn support(&mut self, when: Millis, is_alone: bool) {
        self.succession.confirm(when);
        self.succession.is_alone = is_alone;
    }

    /// Whether no successor can have opened the reserve.
    pub fn is_supported(&self, now: Millis) -> bool {
        self.succession.is_supported(now)
    }

    /// Goes on with a later epoch, as the store came back from an older copy. Until all of `names`
    /// are heard in it, another process may have become the coordinator before, whose leases may be in
    /// use until `unknown_until`; this one leases nothing out until `lease_end`.
    pub fn advance(
        &mut self,
        epoch: u64,
        names: BTreeSet<Arc<str>>,
        lease_end: Millis,
        unknown_until: Millis,
        now: Millis,
    ) {
        self.epoch = epoch;
        self.succession.doubt(names, lease_end, unknown_until);
        // Holders may have applied offers whose acknowledgements are lost now.
        let shares = self.holders.values_mut().flat_map(|lease| lease.shares.values_mut());
        shares.filter_map(|share| share.offer.as_mut()).for_each(|offer| offer.tokens = 0);
        self.settle(now);
    }

    /// Whether nothing is held any more of earlier epochs but what holders have reported, and no other
    /// process can act.
    pub fn is_settled(&self) -> bool {
        self.succession.is_settled()
    }

    /// Whether a VM reported in this epoch.
    pub fn has_heard(&self, vm: &str) -> bool {
        let mut awaited = self.succession.names();
        self.holders.contains_key(vm) && !awaited.any(|name| name.as_ref() == vm)
    }

    /// What may be used of what earlier epochs may have leased out, as of the latest message.
    pub fn phase(&self) -> Phase {
        self.succession.phase()
    }

    /// How long VMs that are not known may hold shares yet.
    pub fn unknown_for(&self, now: Millis) -> Option<Millis> {
        self.succession.unknown_until(now).map(|until| until - now)
    }

    /// The number of VMs that may hold shares of other epochs.
    pub fn awaited(&self) -> usize {
        self.succession.names().count()
    }

    /// The VMs that may hold shares.
    pub fn names(&self) -> BTreeSet<Arc<str>> {
        self.holders.keys().chain(self.succession.names()).cloned().collect()
    }

    /// The VMs of predecessors that may still give tokens of the reserve.
    pub fn givers(&self) -> BTreeSet<Arc<str>> {
        self.succession.givers()
    }

    /// What holders may use of an account, in millionths.
    pub fn leased(&self, key: u64) -> u32 {
        self.accounts.get(&key).map_or(0, |pool| pool.leased)
    }

    /// Whether a lease has ended that counts until the row is confirmed.
    pub fn awaits_confirmation(&self, now: Millis) -> bool {
        let mut ends = self.holders.values().map(|lease| lease.end).chain(self.succession.ends());
        ends.any(|end| self.succession.certain(end) < end && end <= now)
    }

    /// Drops the leases that had lapsed when the row was last confirmed. Until then a successor may
    /// have renewed them.
    pub fn expire(&mut self, now: Millis) {
        let certain = self.succession.certain(now);
        let ended: Vec<Arc<str>> = self
            .holders
            .iter()
            .filter(|(_, lease)| lease.end <= certain)
            .map(|(vm, _)| Arc::clone(vm))
            .collect();
        ended.iter().for_each(|vm| self.remove(vm, now));
        self.settle(now);
    }

    /// Answers a report. Shares may be used for `valid` from now on. A VM that `is_named` in the row
    /// may get shares and tokens.
    pub fn receive(
        &mut self,
        report: &Report,
        is_named: bool,
        valid: Millis,
        now: Millis,
    ) -> Option<Reply> {
        self.expire(now);
        if report.epoch != self.epoch {
            return None;
        }
        self.succession.hear(&report.vm, report.echo, is_named);
        let mut valid = valid.min(self.succession.lease_end() - now);
        // A successor awaits a VM that the row doesn't name only for as long.
        if let Some(unknown) = self.unknown_for(now).filter(|_| !is_named) {
            valid = valid.min(unknown - SPEED_MARGIN);
        }
        let mut reply = Reply {
            epoch: self.epoch,
            incarnation: report.incarnation,
            id: report.id,
            made: now,
            valid,
            reset: false,
            offers: Vec::new(),
            tokens: Vec::new(),
            closed_for: self.succession.closed_for(now),
        };
        let known = self.holders.get(&report.vm).map(|lease| (lease.incarnation, lease.last_id));
        match known {
            Some((incarnation, _)) if incarnation > report.incarnation => {
                return Some(Reply { incarnation, reset: true, ..reply });
            }
            Some((incarnation, last_id)) if incarnation == report.incarnation => {
                if report.id <= last_id {
                    return None;
                }
            }
            _ => {
                let Some(held) = &report.held else {
                    return Some(Reply { reset: true, ..reply });
                };
                if !self.admit_holder(report, held, valid, now) {
                    return Some(Reply { reset: true, ..reply });
                }
            }
        }
        self.succession.admit(&report.vm);
        self.settle(now);
        if valid == Millis::ZERO {
            return None;
        }
        let lease = self.holders.get_mut(&report.vm)?;
        lease.last_id = report.id;
        lease.end = lease.end.max(now + valid + SPEED_MARGIN);
        self.record(report, now);
        if is_named {
            reply.offers = self.offers(&report.vm, now);
            reply.tokens = self.tokens(report, now);
        }
        Some(reply)
    }

    /// Takes a holder in that was not known, with the shares that it still holds. Returns whether
    /// these may be kept.
    fn admit_holder(
        &mut self,
        report: &Report,
        held: &[(u64, u32)],
        valid: Millis,
        now: Millis,
    ) -> bool {
        let awaited_until = self.succession.awaits(&report.vm, now);
        let is_new = !self.holders.contains_key(&report.vm);
        let may_hold = is_new && awaited_until.is_some();
        if !held.is_empty() && !may_hold {
            return false;
        }
        self.remove(&report.vm, now);
        let end = awaited_until.unwrap_or_default().max(now + valid);
        let (incarnation, last_id) = (report.incarnation, 0);
        let mut lease = Lease { incarnation, last_id, end, shares: HashMap::new() };
        for (key, share) in held {
            let pool =
                self.accounts.entry(*key).or_insert_with(|| Pool::new(Limit::default(), now));
            pool.leased += share;
            lease.shares.insert(*key, Share { held: *share, ..Share::default() });
        }
        self.holders.insert(Arc::clone(&report.vm), lease);
        true
    }

    /// Takes note of acknowledged offers and of demand.
    fn record(&mut self, report: &Report, now: Millis) {
        let phase = self.succession.phase();
        let Some(lease) = self.holders.get_mut(&report.vm) else { return };
        for (key, sequence) in &report.applied {
            let (Some(share), Some(pool)) = (lease.shares.get_mut(key), self.accounts.get_mut(key))
            else {
                continue;
            };
            if let Some(offer) = share.offer.filter(|offer| offer.sequence == *sequence) {
                pool.leased = pool.leased - share.leased() + offer.share;
                (share.held, share.offer) = (offer.share, None);
                pool.refresh(phase, now);
            }
        }
        for demand in &report.demands {
            // A configuration that this VM doesn't have yet may list it.
            let new = || Pool::new(Limit::default(), now);
            let pool = self.accounts.entry(demand.key).or_insert_with(new);
            let share = lease.shares.entry(demand.key).or_default();
            let rate = f64::from(demand.rate).clamp(0.0, 1e9);
            pool.demand = (pool.demand - share.demand + rate).max(0.0);
            share.demand = rate;
        }
        lease.shares.retain(|_, share| share.leased() > 0 || share.demand > 0.0);
    }

    fn remove(&mut self, vm: &str, now: Millis) {
        let Some(lease) = self.holders.remove(vm) else { return };
        let phase = self.succession.phase();
        for (key, share) in lease.shares {
            if let Some(pool) = self.accounts.get_mut(&key) {
                pool.leased -= share.leased();
                pool.demand = (pool.demand - share.demand).max(0.0);
                pool.refresh(phase, now);
            }
        }
    }

    /// Ends the wait for shares of earlier epochs when none is left, and opens the reserves.
    fn settle(&mut self, now: Millis) {
        if self.succession.has_lapsed(now) {
            let holders: Vec<Arc<str>> = self.holders.keys().cloned().collect();
            holders.iter().for_each(|vm| self.remove(vm, now));
        }
        if self.succession.settle(now) {
            self.refresh(now);
        }
    }

    fn refresh(&mut self, now: Millis) {
        let phase = self.succession.phase();
        self.accounts.values_mut().for_each(|pool| pool.refresh(phase, now));
    }
}
