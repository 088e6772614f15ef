//! Changes that pass between neighbours while one of them can't reach the store.

use crate::core::Core;
use crate::heartbeat::Ahead;
use crate::reply::{Body, Reply};
use bytes::Bytes;
use clock::Millis;
use errors::Kind;
use http1::net::Patience;
use http1::{Call, Client, Headers, Request};
use std::cell::Cell;
use std::rc::Rc;
use steering::catalogue::{Batch, Feed};

/// A VM that heard from the store within this time waits for the store rather than ask a
/// neighbour; a change reaches all VMs within a fraction of it.
const STORE_FIRST: Millis = Millis(700);
/// A reader gives the store this long to tell it the news that a neighbour already has.
const READER_WAITS: Millis = Millis(300);
/// Time for a whole call.
const TIMEOUT: Millis = Millis(800);
/// Connections to neighbours must be quick, as there are others to ask.
const PATIENCE: Patience = Patience { connect: Millis(300), silence: Millis(1_500) };
/// The most bytes of an answer.
const BODY_BYTES: u64 = 8 * 1024 * 1024;
const PATH: &str = "/changes";

/// Answers a neighbour that asks for changes.
pub fn answer(core: &Core, request: &Request) -> Reply {
    let mut feed = None;
    let mut after = 0;
    for (key, value) in request.query().split('&').filter_map(|pair| pair.split_once('=')) {
        match key {
            "feed" => feed = Feed::ALL.into_iter().find(|each| each.as_str() == value),
            "after" => after = value.parse().unwrap_or_default(),
            _ => {}
        }
    }
    let (Some(feed), PATH) = (feed, request.path()) else {
        return Reply::failure(Kind::Malformed, None);
    };
    if !core.catalogue.borrow().is_listed(feed) {
        return Reply::failure(Kind::NotReady, None);
    }
    let batch = core.catalogue.borrow().changes_since(feed, after);
    match rmp_serde::to_vec(&batch) {
        Ok(bytes) => {
            Reply { status: 200, headers: Headers::default(), body: Body::Whole(bytes.into()) }
        }
        Err(error) => {
            log::error!(target: "changes", cause:% = error; "changes can't be encoded");
            Reply::failure(Kind::Internal, None)
        }
    }
}

/// Asks neighbours for what they know and this VM doesn't, one call at a time.
#[derive(Default)]
pub struct Asking {
    busy: Cell<bool>,
}

impl Asking {
    /// Asks the neighbour that is ahead, unless the store is answering or a call is under way.
    pub fn ask(self: &Rc<Asking>, core: &Rc<Core>, ahead: Ahead) {
        let now = core.clock.now();
        let heard = core.store_answered(ahead.feed);
        if self.busy.get() || heard.is_some_and(|heard| now < heard + STORE_FIRST) {
            return;
        }
        self.busy.set(true);
        let (asking, core) = (Rc::clone(self), Rc::clone(core));
        tokio::task::spawn_local(async move {
            if core.reads(ahead.feed) && core.catalogue.borrow().is_listed(ahead.feed) {
                core.clock.sleep(READER_WAITS).await;
            }
            if core.catalogue.borrow().revision(ahead.feed) < ahead.revision {
                fetch(&core, ahead).await;
            }
            asking.busy.set(false);
        });
    }
}

async fn fetch(core: &Core, ahead: Ahead) {
    let after = {
        let catalogue = core.catalogue.borrow();
        if catalogue.is_listed(ahead.feed) { catalogue.revision(ahead.feed) } else { 0 }
    };
    let target = format!("{PATH}?feed={}&after={after}", ahead.feed.as_str());
    let mut client = Client::new(ahead.changes, PATIENCE, BODY_BYTES);
    let call = Call { method: "GET", target: &target, body: b"", media_type: "", timeout: TIMEOUT };
    match client.call(&call).await {
        Ok((response, body)) if response.status == 200 => take_in(core, &body),
        Ok((response, _)) => {
            log::info!(target: "changes", status = response.status; "neighbour told no changes");
        }
        Err(error) => {
            log::info!(target: "changes", cause:% = error; "neighbour told no changes");
        }
    }
}

fn take_in(core: &Core, body: &Bytes) {
    match rmp_serde::from_slice::<Batch>(body) {
        Ok(batch) => core.apply(batch, "neighbour"),
        Err(error) => {
            log::warn!(target: "changes", cause:% = error; "a neighbour's changes can't be read");
        }
    }
}
