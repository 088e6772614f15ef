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

/// Time for requests in flight to finish when a listener closes.
const CLOSE_TIMEOUT: Millis = Millis(2_000);

/// A running `controld`.
pub struct Daemon {
    control: Control,
    listeners: [Listener; 3],
    listen: Listen,
}

/// The addresses on which a `controld` listens.
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
    /// Binds the listening addresses in `node` and starts the agent.
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

    /// The addresses on which the daemon listens.
    pub fn listen(&self) -> Listen {
        self.listen
    }

    /// Notifies peers that this VM is leaving, waits for its `entryd`, and ends.
    pub async fn close(self) {
        self.control.close().await;
        for listener in self.listeners {
            listener.close(CLOSE_TIMEOUT).await;
        }
    }
}

fn settings(node: Node, clock: Clock) -> Settings {
    let incarnation = clock.now().0;
    let dissemination = Arc::new(Fanout::default());
    Settings { node, incarnation, seed: incarnation, dissemination, clock }
}

/// Routes for peers' messages, and for snapshots to an `entryd` whose own `controld` is down.
fn peer_router(key: &Key, agent: &Arc<Agent>) -> Router {
    Router::new()
        .push(peer::http::router(key.clone(), Arc::clone(agent) as _))
        .push(local::Server::router(key.clone(), Arc::clone(agent) as _))
}
