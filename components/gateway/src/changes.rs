//! Changes that entry VMs fetch from a peer when they don't get them from the store.

use crate::core::{Core, Origin};
use crate::follow;
use crate::heartbeat::NewerRevision;
use crate::reply::{Body, Reply};
use bytes::Bytes;
use clock::Millis;
use errors::Kind;
use http1::net::Timeouts;
use http1::{Call, Client, Headers, Limits, Request};
use std::cell::Cell;
use std::rc::Rc;
use std::sync::Arc;
use steering::catalogue::{Batch, Feed};
use steering::readers::Role;

/// How long a reader waits, once its next poll is due, for the store to send a change that a peer
/// already has.
const STORE_READ_DELAY: Millis = Millis(300);
/// Time until a peer responds.
const RESPONSE_TIMEOUT: Millis = Millis(800);
/// Time without a byte of a peer's response.
const SILENCE_TIMEOUT: Millis = Millis(500);
/// The timeouts are short, as other peers have the changes too.
const CONNECTION_TIMEOUTS: Timeouts = Timeouts { connect: Millis(300), silence: Millis(1_500) };
const MAX_BODY_BYTES: u64 = 8 * 1024 * 1024;
/// Changes of this size take a while on a slow link: few are sent at a time, and they are logged.
const LARGE_BYTES: usize = 64 * 1024;
const PATH: &str = "/changes";

/// Handles a peer's request for changes.
pub fn serve(core: &Core, request: &Request) -> Reply {
    let mut feed = None;
    let (mut after, mut era) = (0, 0);
    for (key, value) in request.query().split('&').filter_map(|pair| pair.split_once('=')) {
        match key {
            "feed" => feed = Feed::ALL.into_iter().find(|each| each.as_str() == value),
            "after" => after = value.parse().unwrap_or_default(),
            "era" => era = value.parse().unwrap_or_default(),
            _ => {}
        }
    }
    let (Some(feed), PATH) = (feed, request.path()) else {
        return Reply::failure(Kind::Malformed, None);
    };
    if !core.catalogue.borrow().is_listed(feed) {
        return Reply::failure(Kind::NotReady, None);
    }
    let batch = {
        let catalogue = core.catalogue.borrow();
        // A revision of another era says nothing about this copy.
        let is_comparable = catalogue.position(feed).era == era;
        catalogue.changes_since(feed, if is_comparable { after } else { 0 })
    };
    match rmp_serde::to_vec(&batch) {
        Ok(bytes) => {
            if bytes.len() >= LARGE_BYTES {
                let (mbps, now) = (core.settings().link_mbps, core.clock.now());
                if !core.uplink.borrow_mut().admit(bytes.len(), mbps, now) {
                    return Reply::failure(Kind::Overloaded, None);
                }
                log::info!(
                    target: "changes", feed = feed.as_str(), after = after, full = batch.full,
                    rows = batch.changes.len(), bytes = bytes.len();
                    "sending large changes to a peer"
                );
            }
            Reply { status: 200, headers: Headers::default(), body: Body::Full(bytes.into()) }
        }
        Err(error) => {
            log::error!(
                target: "changes", cause:% = error;
                "can't encode changes; responding with an error"
            );
            Reply::failure(Kind::Internal, None)
        }
    }
}

/// Fetches missed changes from peers, with one request for each feed at a time.
#[derive(Default)]
pub struct Puller {
    is_fetching: [Cell<bool>; 2],
}

impl Puller {
    /// Fetches from a peer with a newer revision, unless another peer is likely to need no full
    /// listing or a request is in flight. A reader gives the store time to send the changes, but
    /// doesn't rely on it: the store's responses may be older than the peer's copy.
    pub fn pull(self: &Rc<Puller>, core: &Rc<Core>, newer: NewerRevision) {
        let feed = newer.feed;
        if self.is_fetching[feed as usize].get() || is_expected_elsewhere(core, &newer) {
            return;
        }
        self.is_fetching[feed as usize].set(true);
        let (puller, core) = (Rc::clone(self), Rc::clone(core));
        tokio::task::spawn_local(async move {
            let is_reader = core.role(feed) == Role::Reader;
            // A store that came back from an older copy doesn't have what the peer has.
            let is_store_behind = core.catalogue.borrow().position(feed) >= newer.position;
            if is_reader && !is_store_behind && core.catalogue.borrow().is_listed(feed) {
                core.clock.sleep(follow::batch_delay(&core, feed) + STORE_READ_DELAY).await;
            }
            if lacks(&core, &newer) {
                fetch(&core, newer).await;
            }
            puller.is_fetching[feed as usize].set(false);
        });
    }
}

/// Whether this VM still lacks what the peer has.
fn lacks(core: &Core, newer: &NewerRevision) -> bool {
    let catalogue = core.catalogue.borrow();
    catalogue.position(newer.feed) < newer.position
        || newer.feed == Feed::Operators && catalogue.version() < newer.version
        || catalogue.needs_peer_listing(newer.feed)
}

/// Whether the changes are likely to come from a peer that needs no full listing.
fn is_expected_elsewhere(core: &Core, newer: &NewerRevision) -> bool {
    let limit = core.staleness_limits(newer.feed).request;
    let is_recent = core.confirmed_age(newer.feed).is_some_and(|age| age < limit);
    core.catalogue.borrow().is_listed(newer.feed) && newer.full && !newer.supersedes && is_recent
}

async fn fetch(core: &Core, newer: NewerRevision) {
    let (after, era) = {
        let catalogue = core.catalogue.borrow();
        let is_listing = newer.supersedes || !catalogue.is_listed(newer.feed);
        let known = catalogue.position(newer.feed);
        (if is_listing { 0 } else { known.revision }, known.era)
    };
    let target = format!("{PATH}?feed={}&after={after}&era={era}", newer.feed.as_str());
    let mut client = Client::new(newer.address, CONNECTION_TIMEOUTS, MAX_BODY_BYTES);
    let call = Call {
        method: "GET",
        target: &target,
        body: b"",
        media_type: "",
        limits: Limits {
            response: RESPONSE_TIMEOUT,
            silence: SILENCE_TIMEOUT,
            total: RESPONSE_TIMEOUT + core.staleness_limits(newer.feed).transfer,
        },
    };
    let started = core.clock.now();
    match client.call(&call).await {
        Ok((response, body)) if response.status == 200 => {
            if body.len() >= LARGE_BYTES {
                log::info!(
                    target: "changes", peer = newer.peer.as_ref(), bytes = body.len(),
                    took_ms = (core.clock.now() - started).0;
                    "large changes fetched from a peer"
                );
            }
            apply(core, &body, newer.peer);
        }
        Ok((response, _)) => {
            log::info!(
                target: "changes", peer = newer.peer.as_ref(), status = response.status;
                "peer rejected the request for changes"
            );
        }
        Err(error) => {
            log::info!(
                target: "changes", peer = newer.peer.as_ref(), cause:% = error;
                "can't fetch changes from a peer"
            );
        }
    }
}

fn apply(core: &Core, body: &Bytes, peer: Arc<str>) {
    match rmp_serde::from_slice::<Batch>(body) {
        Ok(batch) if batch.has_valid_revisions() => core.apply(batch, &Origin::Peer(peer)),
        Ok(batch) => {
            log::warn!(
                target: "changes", peer = peer.as_ref(), revision = batch.revision;
                "ignoring changes of a peer with impossible revisions"
            );
        }
        Err(error) => {
            log::warn!(
                target: "changes", peer = peer.as_ref(), cause:% = error;
                "ignoring malformed changes of a peer"
            );
        }
    }
}
