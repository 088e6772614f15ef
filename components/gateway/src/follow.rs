//! Follows the feeds of the store with long polls.

use crate::core::{Core, Origin};
use crate::{Poll, Source, Update};
use clock::Millis;
use rand::RngExt;
use std::rc::Rc;
use steering::catalogue::{Batch, Feed, Position};
use steering::readers::Role;
use steering::uptime::Uptime;

/// A poll waits for less than the longest time, by up to this part of it as a divisor, at random:
/// readers whose polls ended with the same change must not all confirm their copies at the same
/// moments from then on.
const POLL_JITTER_DIVISOR: u64 = 4;
/// How long the poll of a VM with an old copy waits: it needs the state of this moment.
const REFRESH_WAIT: Millis = Millis(1);
/// Time until a poll is responded to, and without a byte of the response. A silent connection must
/// be replaced soon enough to keep the drain bound.
const RESPONSE_TIMEOUT: Millis = Millis(500);
/// Time for the response after a failure, as the store may be slow.
const RESPONSE_TIMEOUT_AFTER_FAILURE: Millis = Millis(1_000);
/// How much longer than otherwise a transfer may take after one that was cut off, which must not
/// begin anew again and again.
const TRANSFER_FACTOR_AFTER_INCOMPLETE: u64 = 4;
/// How often a VM that relies on its peers checks whether it became a reader.
const ROLE_CHECK_INTERVAL: Millis = Millis(500);
/// How long a poll waits after a failed one: a poll that was sent during an outage gets no
/// response, and must not delay for long that the recovered store is noticed.
const POLL_WAIT_AFTER_FAILURE: Millis = Millis(100);
/// Delay after a response with changes, so that changes in quick succession share a poll, and after
/// one that is out of date.
const BATCH_DELAY: Millis = Millis(100);
/// For upstreams, which join and leave in long series, the delay is the drain bound divided by
/// this. The rest of the bound is for dissemination among VMs and for requests in flight.
const DRAIN_DIVISOR: u64 = 8;
/// Delay after a failed poll, with a jitter of up to half of it. The first failure may be that of
/// a connection which went silent, so that the next poll follows at once.
const RETRY_DELAY: Millis = Millis(400);

/// Follows `feed` until the process ends.
pub async fn follow(core: Rc<Core>, mut source: Box<dyn Source>, feed: Feed) {
    let mut listed = false;
    let mut failing = false;
    let mut was_incomplete = false;
    loop {
        let role = if listed { core.role(feed) } else { Role::Reader };
        if role == Role::Follower {
            let until_old = core.time_until_age(feed, core.staleness_limits(feed).read);
            core.clock.sleep(until_old.min(ROLE_CHECK_INTERVAL)).await;
            continue;
        }
        let poll = listed.then(|| next_poll(&core, feed, role, failing, was_incomplete));
        let request = Request {
            sent: core.clock.now(),
            wait: poll.map_or(Millis::ZERO, |poll| poll.wait),
            era: core.catalogue.borrow().position(feed).era,
            known: core.newest_position(feed),
        };
        let result = match poll {
            None => source.list(feed).await.map(Update::Changes),
            Some(poll) => source.follow(feed, poll).await,
        };
        was_incomplete = matches!(result, Ok(Update::Incomplete(_)));
        match result {
            Ok(Update::Changes(batch)) if request.precedes(&batch) => {
                log::info!(
                    target: "store", feed = feed.as_str(), era = batch.era, known = request.era;
                    "store came back from an older copy; reading all rows"
                );
                listed = false;
            }
            Ok(Update::Changes(batch)) => {
                mark_reachable(feed, &mut failing);
                listed = true;
                if !request.apply_response(&core, batch) {
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
            Ok(Update::Incomplete(error)) | Err(error) => {
                metrics::gauge!(telemetry::names::PLATFORM_UP).set(0.0);
                if !failing {
                    log::warn!(
                        target: "store", feed = feed.as_str(), cause:% = error;
                        "store is unreachable; using the known state"
                    );
                } else {
                    let jitter = rand::rng().random_range(0..=RETRY_DELAY.0 / 2);
                    core.clock.sleep(RETRY_DELAY + Millis(jitter)).await;
                }
                failing = true;
            }
        }
    }
}

/// A request to the store whose response is awaited.
struct Request {
    sent: Millis,
    /// How long the store waits for changes if there are none.
    wait: Millis,
    /// The era of this VM's copy when the request was sent.
    era: u64,
    /// The newest position that this VM or a peer knew when the request was sent.
    known: Position,
}

impl Request {
    /// Whether the changes are those of a newer era, after a revision of the old one.
    fn precedes(&self, batch: &Batch) -> bool {
        !batch.full && batch.era > self.era
    }

    /// Applies the response. Returns whether it says that nothing has changed until now.
    fn apply_response(&self, core: &Core, batch: Batch) -> bool {
        let now = core.clock.now();
        core.merge_store_uptime(Uptime::at(now));
        let is_empty = batch.changes.is_empty();
        // The copy may have moved to a newer era since.
        let era = core.catalogue.borrow().position(batch.feed).era;
        let is_current = batch.position() >= self.known && batch.era >= era;
        if is_current {
            // A response with changes may have been made at any time since the request was sent.
            let waited = if is_empty { self.wait } else { Millis::ZERO };
            core.confirm(batch.feed, batch.era, (self.sent + waited).min(now));
        } else {
            log::info!(
                target: "store", feed = batch.feed.as_str(), revision = batch.revision,
                era = batch.era, known = self.known.revision, known_era = self.known.era;
                "store's response is older than what was known before; requesting it again"
            );
        }
        core.apply(batch, &Origin::Store);
        is_current && is_empty
    }
}

fn next_poll(core: &Core, feed: Feed, role: Role, failing: bool, was_incomplete: bool) -> Poll {
    let after = core.catalogue.borrow().revision(feed);
    let (wait, timeout) = match (failing, role) {
        (true, _) => (POLL_WAIT_AFTER_FAILURE, RESPONSE_TIMEOUT_AFTER_FAILURE),
        (false, Role::Reader) => {
            let longest = core.poll_wait(feed);
            let jitter = rand::rng().random_range(0..=longest.0 / POLL_JITTER_DIVISOR);
            (longest - Millis(jitter), RESPONSE_TIMEOUT)
        }
        (false, Role::Refresher | Role::Follower) => (REFRESH_WAIT, RESPONSE_TIMEOUT),
    };
    let transfer = core.staleness_limits(feed).transfer;
    let factor = if was_incomplete { TRANSFER_FACTOR_AFTER_INCOMPLETE } else { 1 };
    Poll { after, wait, timeout, transfer: Millis(transfer.0 * factor) }
}

/// The delay after a response with changes of `feed`, or with an older state.
pub fn batch_delay(core: &Core, feed: Feed) -> Millis {
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
