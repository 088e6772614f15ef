//! The control plane's agent of one entry VM.

use crate::{Listener, Socket};
use clock::{Clock, Millis};
use control::dissemination::Fanout;
use control::{Agent, Control, Platform, Settings};
use errors::Error;
use peer::http::{Client, Key};
use peer::local;
use salvo::prelude::Router;
use serde::Serialize;
use settings::Node;
use std::net::SocketAddr;
use std::sync::Arc;

/// How long exchanges under way may take when a listener closes.
const CLOSE_PATIENCE: Millis = Millis(2_000);

/// A running `controld`.
pub struct Daemon {
    control: Control,
    listeners: [Listener; 3],
    listen: Listen,
}

/// Where a `controld` listens.
#[derive(Clone, Copy, Debug, Serialize)]
pub struct Listen {
    /// For peers.
    pub peer: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
    /// For the VM's own `entryd`.
    pub local: SocketAddr,
}

impl Daemon {
    /// Binds the node's addresses and starts the agent.
    ///
    /// # Errors
    ///
    /// [`errors::Kind::BadSettings`] when an address can't be bound.
    pub async fn open(node: Node, platform: Platform, clock: Clock) -> Result<Daemon, Error> {
        let peer = Socket::bind(node.peer).await?;
        let operator = Socket::bind(node.operator).await?;
        let local = Socket::bind(node.local).await?;
        let listen =
            Listen { peer: peer.address(), operator: operator.address(), local: local.address() };
        let key = Key::new(Arc::clone(&node.peer_key));
        let operator_key = operator::Key::new(Arc::clone(&node.operator_key));
        let node =
            Node { peer: listen.peer, operator: listen.operator, local: listen.local, ..node };
        let transport = Arc::new(Client::new(key.clone()));
        let control = Control::start(settings(node, clock), platform, transport);
        let agent = control.agent();
        let listeners = [
            peer.serve(peer_router(&key, &agent)),
            operator.serve(operator::router(operator_key, Arc::clone(&agent) as _)),
            local.serve(local::Server::router(key, agent)),
        ];
        Ok(Daemon { control, listeners, listen })
    }

    /// The agent, for use within the process.
    pub fn agent(&self) -> Arc<Agent> {
        self.control.agent()
    }

    /// Where the daemon listens.
    pub fn listen(&self) -> Listen {
        self.listen
    }

    /// Tells the fleet that this VM is leaving, waits for its `entryd`, and ends.
    pub async fn close(self) {
        self.control.close().await;
        for listener in self.listeners {
            listener.close(CLOSE_PATIENCE).await;
        }
    }
}

fn settings(node: Node, clock: Clock) -> Settings {
    let incarnation = clock.now().0;
    let dissemination = Arc::new(Fanout::default());
    Settings { node, incarnation, seed: incarnation, dissemination, clock }
}

/// Peers' messages, and snapshots for a neighbour whose own `controld` is dead.
fn peer_router(key: &Key, agent: &Arc<Agent>) -> Router {
    Router::new()
        .push(peer::http::router(key.clone(), Arc::clone(agent) as _))
        .push(local::Server::router(key.clone(), Arc::clone(agent) as _))
}
