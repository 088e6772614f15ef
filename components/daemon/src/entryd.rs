//! The data plane of one entry VM.

use crate::{Listener, Socket};
use clock::{Clock, Millis};
use entry::{Entry, Settings};
use errors::{Error, Kind};
use peer::http::{Key, Relay, relay_router};
use peer::local::Client;
use salvo::prelude::Router;
use serde::Serialize;
use settings::Node;
use std::net::SocketAddr;
use std::sync::Arc;
use store::Table;
use telemetry::names;
use tokio::task::JoinHandle;
use upstream::Transport;

/// Pause before the next request after `controld` failed to send a snapshot.
const RETRY_PAUSE: Millis = Millis(200);
/// Time for requests in flight to finish when a listener closes.
const CLOSE_TIMEOUT: Millis = Millis(30_000);

/// A running `entryd`.
pub struct Daemon {
    entry: Entry,
    follower: JoinHandle<()>,
    listeners: [Listener; 2],
    listen: Listen,
}

/// The addresses on which an `entryd` listens.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Listen {
    /// For callers.
    pub caller: SocketAddr,
    /// For orders that peers relay.
    pub relay: SocketAddr,
}

/// An `entryd` whose addresses are bound but not served yet, so that its `controld` can publish
/// them to peers.
pub struct Bound {
    node: Node,
    caller: Socket,
    relay: Socket,
}

impl Bound {
    /// This VM's settings, with the bound ports.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// Starts serving. Until the first snapshot arrives from the `controld` at `local`, requests
    /// are refused with [`Kind::NotReady`].
    ///
    /// # Errors
    ///
    /// [`Kind::Internal`] when the HTTP client can't be set up.
    pub fn open(
        self,
        local: SocketAddr,
        table: Arc<dyn Table>,
        clock: Clock,
    ) -> Result<Daemon, Error> {
        let Bound { node, caller, relay } = self;
        let listen = Listen { caller: caller.address(), relay: relay.address() };
        let key = Key::new(Arc::clone(&node.peer_key));
        let operator_key = operator::Key::new(Arc::clone(&node.operator_key));
        let entry = new_entry(&node, &key, table, clock)?;
        let client = Client::new(key.clone(), local, node.peers);
        let follower = tokio::spawn(follow_snapshots(entry.clone(), client, clock));
        let listeners = [
            caller.serve(caller::router(Arc::new(entry.clone()))),
            relay.serve(relay_listener_router(key, operator_key, entry.clone())),
        ];
        Ok(Daemon { entry, follower, listeners, listen })
    }
}

impl Daemon {
    /// Binds the listening addresses in `node`.
    ///
    /// # Errors
    ///
    /// [`Kind::BadSettings`] when an address can't be bound.
    pub async fn bind(node: Node) -> Result<Bound, Error> {
        let caller = Socket::bind(node.caller).await?;
        let relay = Socket::bind(node.relay).await?;
        let node = Node { caller: caller.address(), relay: relay.address(), ..node };
        Ok(Bound { node, caller, relay })
    }

    /// Whether a snapshot is in force whose plan gives shares to at least `vms` entry VMs.
    pub fn is_ready(&self, vms: usize) -> bool {
        self.entry.snapshot().is_some_and(|snapshot| snapshot.plan.members.len() >= vms)
    }

    /// The addresses on which the daemon listens.
    pub fn listen(&self) -> Listen {
        self.listen
    }

    /// Refuses new requests, waits for those in flight, and ends.
    pub async fn close(self) {
        self.entry.close().await;
        for listener in self.listeners {
            listener.close(CLOSE_TIMEOUT).await;
        }
        self.follower.abort();
    }
}

/// Routes for orders that peers relay, and for metrics.
fn relay_listener_router(key: Key, operator_key: operator::Key, entry: Entry) -> Router {
    Router::new()
        .push(operator::metrics_router(operator_key))
        .push(relay_router(key, Arc::new(entry)))
}

fn new_entry(node: &Node, key: &Key, table: Arc<dyn Table>, clock: Clock) -> Result<Entry, Error> {
    let incarnation = clock.now().0;
    let (vm, domain) = (Arc::clone(&node.vm), Arc::clone(&node.domain));
    let settings = Settings::new(vm, domain, incarnation, Arc::clone(&node.peer_key));
    let transport: Arc<dyn Transport> = match upstream::Client::new(upstream::Settings::default()) {
        Ok(client) => Arc::new(client),
        Err(cause) => return Err(Error::new(Kind::Internal, cause.to_string())),
    };
    let relay = Arc::new(Relay::new(key.clone()));
    Ok(Entry::new(settings, clock, incarnation, transport, table, relay))
}

/// Installs snapshots from `controld` as they arrive; between them `entry` uses the latest one.
async fn follow_snapshots(entry: Entry, mut client: Client, clock: Clock) {
    let mut last_response = clock.now();
    loop {
        match client.next(entry.report()).await {
            Ok(snapshot) => {
                last_response = clock.now();
                if let Some(snapshot) = snapshot {
                    entry.install(snapshot);
                }
            }
            Err(failure) => {
                log::warn!("no snapshot from controld, retrying in {RETRY_PAUSE}: {failure}");
                clock.sleep(RETRY_PAUSE).await;
            }
        }
        let lag = (clock.now() - last_response).as_secs_f64();
        metrics::gauge!(names::LAG, names::SOURCE => "controld").set(lag);
    }
}
