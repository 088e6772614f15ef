//! Follows the store's two feeds.

use crate::core::Core;
use crate::{Source, Update};
use clock::Millis;
use rand::RngExt;
use std::rc::Rc;
use steering::catalogue::Feed;

/// How long one call waits for changes. A connection that fell silent is noticed after it, so it
/// is shorter than the time that promises allow after a disturbance.
const WAIT: Millis = Millis(2_000);
/// How long a call waits for changes after one that failed: a call that began in an outage is
/// lost with it, and must not hide for long that the store is back.
const WAIT_FAILING: Millis = Millis(100);
/// The pause after an answer with changes, so that changes in a row share a call.
const PAUSE: Millis = Millis(100);
/// The part of the drain bound that the pause takes for upstreams, which come and go in long rows.
/// The rest covers the spread among VMs and requests on their way.
const PAUSE_PART: u64 = 8;
/// The pause after a failed call.
const RETRY: Millis = Millis(400);

/// Follows `feed` for as long as the process lives.
pub async fn follow(core: Rc<Core>, mut source: Box<dyn Source>, feed: Feed) {
    let mut listed = false;
    let mut failing = false;
    loop {
        if listed && !core.reads(feed) {
            core.clock.sleep(PAUSE).await;
            continue;
        }
        let result = match listed {
            false => source.list(feed).await.map(Update::Changes),
            true => {
                let after = core.catalogue.borrow().revision(feed);
                let wait = if failing { WAIT_FAILING } else { WAIT };
                source.follow(feed, after, wait).await
            }
        };
        match result {
            Ok(Update::Changes(batch)) => {
                regained(feed, &mut failing);
                core.store_answers(feed);
                listed = true;
                let quiet = batch.changes.is_empty();
                core.apply(batch, "store");
                if !quiet {
                    core.clock.sleep(pause(&core, feed)).await;
                }
            }
            Ok(Update::RelistRequired) => {
                log::info!(target: "store", feed = feed.as_str(); "history lost, reading all rows");
                listed = false;
            }
            Err(error) => {
                metrics::gauge!(telemetry::names::PLATFORM_UP).set(0.0);
                if !failing {
                    log::warn!(target: "store", feed = feed.as_str(), cause:% = error; "store lost");
                }
                failing = true;
                let jitter = rand::rng().random_range(0..=RETRY.0 / 2);
                core.clock.sleep(RETRY + Millis(jitter)).await;
            }
        }
    }
}

fn pause(core: &Core, feed: Feed) -> Millis {
    match feed {
        Feed::Operators => PAUSE,
        Feed::Upstreams => PAUSE.max(Millis(core.settings().bounds.drain.0 / PAUSE_PART)),
    }
}

fn regained(feed: Feed, failing: &mut bool) {
    if *failing {
        log::info!(target: "store", feed = feed.as_str(); "store regained");
    }
    metrics::gauge!(telemetry::names::PLATFORM_UP).set(1.0);
    *failing = false;
}
