//! A network in memory, in virtual time, for tests, experiments and `try`.

use crate::{Failure, Handler, Message, Reply, Transport};
use async_trait::async_trait;
use clock::Millis;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::watch;

/// How long a sender waits for a reply.
pub const TIMEOUT: Millis = Millis(1000);

/// A network of nodes, with faults at will.
pub struct Network {
    state: Mutex<State>,
    changed: watch::Sender<()>,
}

struct State {
    handlers: BTreeMap<SocketAddr, Arc<dyn Handler>>,
    partitions: BTreeSet<(SocketAddr, SocketAddr)>,
    paused: BTreeSet<SocketAddr>,
    traffic: BTreeMap<SocketAddr, Traffic>,
    delay: Delay,
    loss: f64,
    random: SmallRng,
}

/// The one-way delay between two addresses.
pub type Delay = Arc<dyn Fn(SocketAddr, SocketAddr) -> Millis + Send + Sync>;

/// What one node sent and received, encoded and without HTTP's own headers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Messages and replies sent.
    pub messages: u64,
    /// Bytes sent.
    pub sent_bytes: u64,
    /// Bytes received.
    pub received_bytes: u64,
}

impl Network {
    /// A network with a delay of 1 ms and no loss.
    pub fn new(seed: u64) -> Arc<Network> {
        let state = State {
            handlers: BTreeMap::new(),
            partitions: BTreeSet::new(),
            paused: BTreeSet::new(),
            traffic: BTreeMap::new(),
            delay: Arc::new(|_, _| Millis(1)),
            loss: 0.0,
            random: SmallRng::seed_from_u64(seed),
        };
        Arc::new(Network { state: Mutex::new(state), changed: watch::channel(()).0 })
    }

    /// The transport of the node at `from`.
    pub fn transport(self: &Arc<Network>, from: SocketAddr) -> Arc<dyn Transport> {
        Arc::new(Port { network: Arc::clone(self), from })
    }

    /// Starts a node: messages to `address` go to `handler`.
    pub fn attach(&self, address: SocketAddr, handler: Arc<dyn Handler>) {
        self.state().handlers.insert(address, handler);
    }

    /// Kills a node: messages to `address` find nobody.
    pub fn detach(&self, address: SocketAddr) {
        self.state().handlers.remove(&address);
    }

    /// Sets the delay between addresses.
    pub fn set_delay(&self, delay: Delay) {
        self.state().delay = delay;
    }

    /// Sets the part of messages, and of replies, that is lost, 0 to 1.
    pub fn set_loss(&self, loss: f64) {
        self.state().loss = loss;
    }

    /// Cuts a pair of nodes off from each other.
    pub fn partition(&self, one: SocketAddr, other: SocketAddr) {
        self.state().partitions.extend([(one, other), (other, one)]);
    }

    /// Ends every cut.
    pub fn heal(&self) {
        self.state().partitions.clear();
    }

    /// Freezes a node: it neither sends nor receives until it is wait_while_paused.
    pub fn pause(&self, address: SocketAddr) {
        self.state().paused.insert(address);
    }

    /// Lets a frozen node go on with what it was doing.
    pub fn resume(&self, address: SocketAddr) {
        self.state().paused.remove(&address);
        self.changed.send_replace(());
    }

    /// What the node at `address` sent and received since the start.
    pub fn traffic(&self, address: SocketAddr) -> Traffic {
        self.state().traffic.get(&address).copied().unwrap_or_default()
    }

    /// Returns when the node at `address` isn't paused.
    pub async fn wait_while_paused(&self, address: SocketAddr) {
        let mut changed = self.changed.subscribe();
        while self.state().paused.contains(&address) {
            if changed.changed().await.is_err() {
                return;
            }
        }
    }

    async fn deliver(
        &self,
        from: SocketAddr,
        to: SocketAddr,
        message: Message,
    ) -> Result<Reply, Failure> {
        let lost = || Failure::Lost { context: to.to_string() };
        self.pass(from, to, size(&message)).await.ok_or_else(lost)?;
        let Some(handler) = self.state().handlers.get(&to).cloned() else {
            return Err(Failure::NotSent { context: to.to_string() });
        };
        let reply = handler.handle(message).await;
        self.wait_while_paused(to).await;
        self.pass(to, from, size(&reply)).await.ok_or_else(lost)?;
        Ok(reply)
    }

    /// Carries `bytes` one way; `None` when they are lost.
    async fn pass(&self, from: SocketAddr, to: SocketAddr, bytes: u64) -> Option<()> {
        let delay = self.leave(from, to, bytes);
        let Some(delay) = delay else {
            tokio::time::sleep(TIMEOUT.duration()).await;
            return None;
        };
        tokio::time::sleep(delay.duration()).await;
        self.wait_while_paused(to).await;
        self.state().traffic.entry(to).or_default().received_bytes += bytes;
        Some(())
    }

    fn leave(&self, from: SocketAddr, to: SocketAddr, bytes: u64) -> Option<Millis> {
        let mut state = self.state();
        let traffic = state.traffic.entry(from).or_default();
        traffic.messages += 1;
        traffic.sent_bytes += bytes;
        let loss = state.loss;
        let lost = state.random.random_bool(loss);
        if lost || state.partitions.contains(&(from, to)) {
            return None;
        }
        Some((state.delay)(from, to))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn size<M>(message: &M) -> u64
where
    M: serde::Serialize,
{
    rmp_serde::to_vec(message).map_or(0, |bytes| bytes.len() as u64)
}

struct Port {
    network: Arc<Network>,
    from: SocketAddr,
}

#[async_trait]
impl Transport for Port {
    async fn call(&self, to: SocketAddr, message: Message) -> Result<Reply, Failure> {
        self.network.wait_while_paused(self.from).await;
        let exchange = self.network.deliver(self.from, to, message);
        let reply = tokio::time::timeout(TIMEOUT.duration(), exchange).await;
        self.network.wait_while_paused(self.from).await;
        reply.unwrap_or_else(|_| Err(Failure::Lost { context: to.to_string() }))
    }
}
