//! Follows the store's two feeds.

use crate::core::Core;
use crate::{Follow, Source};
use clock::Millis;
use rand::RngExt;
use std::rc::Rc;
use steering::catalogue::Feed;
use steering::outage::Outage;

/// How long one call waits for changes. A connection that fell silent is noticed after it, so it
/// is shorter than the time that promises allow after a disturbance.
const WAIT: Millis = Millis(2_000);
/// How long a call waits for changes after one that failed: a call that began in an outage is
/// lost with it, and must not hide for long that the store is back.
const WAIT_FAILING: Millis = Millis(100);
/// The pause after an answer with changes, so that changes in a row share a call.
const PAUSE: Millis = Millis(100);
/// The pause after a failed call.
const RETRY: Millis = Millis(400);
/// Time after an outage within which entries that lapsed come back.
const COMES_BACK: Millis = Millis(2_500);

/// Follows `feed` for as long as the process lives.
pub async fn follow(core: Rc<Core>, mut source: Box<dyn Source>, feed: Feed) {
    let mut listed = false;
    let mut outage = Outage::default();
    loop {
        if listed && !core.reads(feed) {
            core.clock.sleep(PAUSE).await;
            continue;
        }
        let called = core.clock.now();
        let wait = if outage.is_on() { WAIT_FAILING } else { WAIT };
        let result = match listed {
            false => source.list(feed).await.map(Follow::Changes),
            true => {
                let after = core.catalogue.borrow().revision(feed);
                source.follow(feed, after, wait).await
            }
        };
        let now = core.clock.now();
        match result {
            Ok(Follow::Changes(batch)) => {
                regained(&core, feed, &mut outage);
                core.store_answers(feed);
                listed = true;
                let quiet = batch.changes.is_empty();
                core.apply(batch, "store");
                if !quiet {
                    core.clock.sleep(PAUSE).await;
                }
            }
            Ok(Follow::Lost) => {
                log::info!(target: "store", feed = feed.as_str(); "history lost, reading all rows");
                core.catalogue.borrow_mut().doubt(now + COMES_BACK);
                listed = false;
            }
            Err(error) => {
                metrics::gauge!(telemetry::names::PLATFORM_UP).set(0.0);
                if !outage.is_on() {
                    log::warn!(target: "store", feed = feed.as_str(), cause:% = error; "store lost");
                }
                outage.failed(called, wait, now);
                doubt(&core, &outage);
                let jitter = rand::rng().random_range(0..=RETRY.0 / 2);
                core.clock.sleep(RETRY + Millis(jitter)).await;
            }
        }
    }
}

fn regained(core: &Core, feed: Feed, outage: &mut Outage) {
    if outage.is_on() {
        log::info!(target: "store", feed = feed.as_str(); "store regained");
        doubt(core, outage);
    }
    metrics::gauge!(telemetry::names::PLATFORM_UP).set(1.0);
    outage.ended();
}

/// Keeps entries that vanish now in use for a while if the outage may be why they vanish.
fn doubt(core: &Core, outage: &Outage) {
    let now = core.clock.now();
    if outage.lapses(core.node().bounds.renewal, now) {
        core.catalogue.borrow_mut().doubt(now + COMES_BACK);
    }
}
