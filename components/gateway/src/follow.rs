//! Follows the feeds of the store with long polls.

use crate::core::{Core, Origin};
use crate::{Source, Update};
use clock::Millis;
use rand::RngExt;
use std::rc::Rc;
use steering::catalogue::Feed;

/// How long a poll waits for changes. A silent connection is noticed only after it, so it is
/// shorter than the settling time that the guarantees allow after a disturbance.
const POLL_WAIT: Millis = Millis(2_000);
/// How long a poll waits after a failed one: a poll that was sent during an outage gets no
/// response, and must not delay for long that the recovered store is noticed.
const POLL_WAIT_AFTER_FAILURE: Millis = Millis(100);
/// Delay after a response with changes, so that changes in quick succession share a poll.
const BATCH_DELAY: Millis = Millis(100);
/// For upstreams, which join and leave in long series, the delay is the drain bound divided by
/// this. The rest of the bound is for dissemination among VMs and for requests in flight.
const DRAIN_DIVISOR: u64 = 8;
/// Delay after a failed poll, with a jitter of up to half of it.
const RETRY_DELAY: Millis = Millis(400);

/// Follows `feed` until the process ends.
pub async fn follow(core: Rc<Core>, mut source: Box<dyn Source>, feed: Feed) {
    let mut listed = false;
    let mut failing = false;
    loop {
        if listed && !core.is_store_reader(feed) {
            core.clock.sleep(BATCH_DELAY).await;
            continue;
        }
        let result = match listed {
            false => source.list(feed).await.map(Update::Changes),
            true => {
                let after = core.catalogue.borrow().revision(feed);
                let wait = if failing { POLL_WAIT_AFTER_FAILURE } else { POLL_WAIT };
                source.follow(feed, after, wait).await
            }
        };
        match result {
            Ok(Update::Changes(batch)) => {
                mark_reachable(feed, &mut failing);
                core.record_store_response(feed);
                listed = true;
                let is_empty = batch.changes.is_empty();
                core.apply(batch, &Origin::Store);
                if !is_empty {
                    core.clock.sleep(batch_delay(&core, feed)).await;
                }
            }
            Ok(Update::RelistRequired) => {
                log::info!(
                    target: "store", feed = feed.as_str();
                    "store no longer has the changes; reading all rows"
                );
                listed = false;
            }
            Err(error) => {
                metrics::gauge!(telemetry::names::PLATFORM_UP).set(0.0);
                if !failing {
                    log::warn!(
                        target: "store", feed = feed.as_str(), cause:% = error;
                        "store is unreachable; using the known state"
                    );
                }
                failing = true;
                let jitter = rand::rng().random_range(0..=RETRY_DELAY.0 / 2);
                core.clock.sleep(RETRY_DELAY + Millis(jitter)).await;
            }
        }
    }
}

fn batch_delay(core: &Core, feed: Feed) -> Millis {
    match feed {
        Feed::Operators => BATCH_DELAY,
        Feed::Upstreams => BATCH_DELAY.max(Millis(core.settings().bounds.drain.0 / DRAIN_DIVISOR)),
    }
}

fn mark_reachable(feed: Feed, failing: &mut bool) {
    if *failing {
        log::info!(target: "store", feed = feed.as_str(); "store is reachable again");
    }
    metrics::gauge!(telemetry::names::PLATFORM_UP).set(1.0);
    *failing = false;
}
