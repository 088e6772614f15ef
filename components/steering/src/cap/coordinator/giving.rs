//! What the coordinator gives to a VM that has reported.

use super::Coordinator;
use crate::cap::lease::differs;
use crate::cap::pool::MIN_TOKENS;
use crate::cap::succession::Phase;
use crate::cap::{Demand, Offer, Report, Tokens};
use clock::Millis;
use std::sync::Arc;

/// Shares of one VM, and of one reply. They bound the bytes of messages.
const MAX_SHARES: usize = 2_000;
const MAX_OFFERS: usize = 500;

impl Coordinator {
    /// The offers for a VM: those that it has not acknowledged, and new ones.
    pub(super) fn offers(&mut self, vm: &Arc<str>, now: Millis) -> Vec<Offer> {
        let phase = self.succession.phase();
        let Some(lease) = self.holders.get_mut(vm) else { return Vec::new() };
        let mut offers = Vec::new();
        let mut count = lease.shares.values().filter(|share| share.leased() > 0).count();
        for (key, share) in &mut lease.shares {
            if offers.len() >= MAX_OFFERS {
                break;
            }
            if let Some(offer) = share.offer {
                offers.push(offer);
                continue;
            }
            let Some(pool) = self.accounts.get_mut(key) else { continue };
            let target = pool.target(share.demand).min(share.held + pool.spare(phase));
            let is_small = target > share.held && pool.limit.part(target).burst < MIN_TOKENS;
            let is_beyond = share.held == 0 && count >= MAX_SHARES;
            if !differs(share.held, target) || is_small || is_beyond {
                continue;
            }
            count += usize::from(share.held == 0);
            self.sequence += 1;
            let tokens = pool.lease(target.saturating_sub(share.held), phase, now);
            let offer = Offer { key: *key, sequence: self.sequence, share: target, tokens };
            share.offer = Some(offer);
            offers.push(offer);
        }
        offers
    }

    /// Tokens of the reserve for the requests that wait.
    pub(super) fn tokens(&mut self, report: &Report, now: Millis) -> Vec<Tokens> {
        let phase = self.succession.phase();
        let waiting = report.demands.iter().filter(|demand| demand.waiting > 0);
        if phase == Phase::Closed || !self.is_supported(now) {
            return Vec::new();
        }
        let is_filling = self.succession.is_filling(now);
        let give = |demand: &Demand| {
            let pool = self.accounts.get_mut(&demand.key)?;
            let (count, pause) = pool.give(demand.waiting, is_filling, phase, now);
            Some(Tokens { key: demand.key, count, pause })
        };
        waiting.filter_map(give).collect()
    }
}
