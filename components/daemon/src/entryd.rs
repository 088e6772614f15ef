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

/// Pause after `controld` didn't answer.
const RETRY: Millis = Millis(200);
/// How long exchanges under way may take when a listener closes.
const CLOSE_PATIENCE: Millis = Millis(30_000);

/// A running `entryd`.
pub struct Daemon {
    entry: Entry,
    follower: JoinHandle<()>,
    listeners: [Listener; 2],
    listen: Listen,
}

/// Where an `entryd` listens.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Listen {
    /// For callers.
    pub caller: SocketAddr,
    /// For orders that other VMs relay.
    pub relay: SocketAddr,
}

/// An `entryd` whose addresses are bound, so that its `controld` can tell them to peers.
pub struct Bound {
    node: Node,
    caller: Socket,
    relay: Socket,
}

impl Bound {
    /// The node's settings, with the ports that were bound.
    pub fn node(&self) -> &Node {
        &self.node
    }

    /// Starts serving; requests are refused as not ready until the first snapshot arrives.
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
        let follower = tokio::spawn(follow(entry.clone(), client, clock));
        let listeners = [
            caller.serve(caller::router(Arc::new(entry.clone()))),
            relay.serve(inside_router(key, operator_key, entry.clone())),
        ];
        Ok(Daemon { entry, follower, listeners, listen })
    }
}

impl Daemon {
    /// Binds the node's addresses.
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

    /// Where the daemon listens.
    pub fn listen(&self) -> Listen {
        self.listen
    }

    /// Refuses new work, finishes what is in flight, and ends.
    pub async fn close(self) {
        self.entry.close().await;
        for listener in self.listeners {
            listener.close(CLOSE_PATIENCE).await;
        }
        self.follower.abort();
    }
}

/// Orders that other VMs relay, and metrics for operators.
fn inside_router(key: Key, operator_key: operator::Key, entry: Entry) -> Router {
    Router::new()
        .push(operator::metrics_router(operator_key))
        .push(relay_router(key, Arc::new(entry)))
}

fn new_entry(node: &Node, key: &Key, table: Arc<dyn Table>, clock: Clock) -> Result<Entry, Error> {
    let incarnation = clock.now().0;
    let (vm, domain) = (Arc::clone(&node.vm), Arc::clone(&node.domain));
    let settings = Settings::new(vm, domain, incarnation, Arc::clone(&node.peer_key));
    let transport: Arc<dyn Transport> = match upstream::Client::new(upstream::Config::default()) {
        Ok(client) => Arc::new(client),
        Err(cause) => return Err(Error::new(Kind::Internal, cause.to_string())),
    };
    let relay = Arc::new(Relay::new(key.clone()));
    Ok(Entry::new(settings, clock, incarnation, transport, table, relay))
}

/// Installs snapshots as they come; while none come, the entry goes on with the one it has.
async fn follow(entry: Entry, mut client: Client, clock: Clock) {
    let mut heard = clock.now();
    loop {
        match client.next(entry.report()).await {
            Ok(snapshot) => {
                heard = clock.now();
                if let Some(snapshot) = snapshot {
                    entry.install(snapshot);
                }
            }
            Err(failure) => {
                log::warn!("no snapshot from controld: {failure}");
                clock.sleep(RETRY).await;
            }
        }
        let lag = (clock.now() - heard).as_secs_f64();
        metrics::gauge!(names::LAG, names::SOURCE => "controld").set(lag);
    }
}
