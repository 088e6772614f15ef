//! Changes of the catalogue, and what derives from it.

use super::{Core, Origin};
use clock::Millis;
use std::cmp::Ordering;
use std::rc::Rc;
use steering::catalogue::{Batch, Event};
use steering::routing::Table;
use steering::uptime::Uptime;

/// The part of the drain bound that is reserved for dissemination among VMs and for requests in
/// flight, when the entry of an upstream has lapsed.
const LAPSE_MARGIN: Millis = Millis(700);
/// Time after a store outage within which upstreams renew entries that lapsed in it.
const OUTAGE_GRACE: Millis = Millis(2_500);
/// Longest time between two checks for lapsed upstreams; each stays lapsed for about the drain
/// bound, which is longer.
const EXPIRY_INTERVAL: Millis = Millis(500);

/// Removes lapsed upstreams when they expire, until the process ends.
pub async fn expire(core: Rc<Core>) {
    loop {
        let step = core.clock.now() + EXPIRY_INTERVAL;
        let next = core.catalogue.borrow().next_expiry();
        core.clock.sleep_until(next.map_or(step, |next| next.min(step))).await;
        core.expire();
    }
}

impl Core {
    /// Applies changes to the catalogue and what derives from it.
    pub fn apply(&self, batch: Batch, origin: &Origin) {
        let now = self.clock.now();
        let feed = batch.feed;
        let lapse = self.settings().bounds.drain - LAPSE_MARGIN;
        // Not every change has an event: a new address or number of slots of an upstream has none.
        let has_changes = batch.full || !batch.changes.is_empty();
        let known = self.catalogue.borrow().position(feed);
        crate::reporting::batch_received(&batch, known, origin);
        let peer_listing = (batch.full && matches!(origin, Origin::Peer(_))).then_some(batch.era);
        let events = self.catalogue.borrow_mut().apply(batch, now, lapse);
        if let Some(era) = peer_listing {
            self.catalogue.borrow_mut().record_peer_listing(feed, era);
        }
        crate::reporting::catalogue_events(&events, origin.as_str());
        if events.iter().any(|event| matches!(event, Event::Configured { .. })) {
            self.rebuild_table();
        }
        if has_changes {
            self.refresh_upstreams();
            self.state_changed.notify_one();
        }
    }

    /// Removes upstreams whose entries lapsed and were not renewed.
    fn expire(&self) {
        let events = self.catalogue.borrow_mut().expire(self.clock.now());
        crate::reporting::catalogue_events(&events, "expiry");
        if !events.is_empty() {
            self.refresh_upstreams();
        }
    }

    /// Merges a span in which the store responded to this VM or a peer. An entry that vanishes
    /// shortly after an outage may have lapsed in it, and so is kept for a while.
    pub fn merge_store_uptime(&self, uptime: Uptime) {
        let Some(known) = self.store_uptime.get() else {
            self.store_uptime.set(Some(uptime));
            return;
        };
        let merged = known.merge(uptime, self.settings().bounds.renewal_interval);
        self.store_uptime.set(Some(merged));
        let until = merged.start + OUTAGE_GRACE;
        match merged.start.cmp(&known.start) {
            Ordering::Greater => self.catalogue.borrow_mut().begin_outage_grace(until),
            Ordering::Less => self.catalogue.borrow_mut().end_outage_grace(until),
            Ordering::Equal => {}
        }
    }

    /// Derives routes and limits from the configuration of the catalogue.
    fn rebuild_table(&self) {
        let Some(configuration) = self.catalogue.borrow().configuration().cloned() else {
            return;
        };
        let table = Table::new(&configuration);
        self.urgency.borrow_mut().retain(|service| table.service(service).is_some());
        self.fairness.borrow_mut().retain(|service| table.service(service).is_some());
        *self.table.borrow_mut() = Rc::new(table);
        self.idle_timeout.send_if_modified(|known| {
            let timeout = configuration.limits.idle_timeout;
            std::mem::replace(known, timeout) != timeout
        });
        self.splitter.borrow_mut().reset();
    }

    /// Derives upstreams from the catalogue again.
    pub(super) fn refresh_upstreams(&self) {
        let catalogue = self.catalogue.borrow();
        self.upstreams.borrow_mut().update(&catalogue, &self.table(), self.clock.now());
    }
}
