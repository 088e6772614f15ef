//! An in-memory network in virtual time, for tests, experiments and `try`.

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
pub const REPLY_TIMEOUT: Millis = Millis(1000);

/// A network between VMs, with faults on demand.
pub struct Network {
    state: Mutex<State>,
    resumed: watch::Sender<()>,
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

/// What one VM sent and received, encoded and without the headers of HTTP.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// Number of messages and replies sent.
    pub messages: u64,
    /// Total size of the messages and replies sent.
    pub sent_bytes: u64,
    /// Total size of the messages and replies received.
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
        Arc::new(Network { state: Mutex::new(state), resumed: watch::channel(()).0 })
    }

    /// The transport of the VM at `from`.
    pub fn transport(self: &Arc<Network>, from: SocketAddr) -> Arc<dyn Transport> {
        Arc::new(Port { network: Arc::clone(self), from })
    }

    /// Attaches a VM: messages to `address` go to `handler`.
    pub fn attach(&self, address: SocketAddr, handler: Arc<dyn Handler>) {
        self.state().handlers.insert(address, handler);
    }

    /// Detaches a VM: messages to `address` fail with [`Failure::NotSent`].
    pub fn detach(&self, address: SocketAddr) {
        self.state().handlers.remove(&address);
    }

    /// Sets the one-way delay between addresses.
    pub fn set_delay(&self, delay: Delay) {
        self.state().delay = delay;
    }

    /// Sets the fraction of messages, and of replies, that is dropped, 0 to 1.
    pub fn set_loss(&self, loss: f64) {
        self.state().loss = loss;
    }

    /// Partitions two VMs from each other.
    pub fn partition(&self, one: SocketAddr, other: SocketAddr) {
        self.state().partitions.extend([(one, other), (other, one)]);
    }

    /// Ends all partitions.
    pub fn heal(&self) {
        self.state().partitions.clear();
    }

    /// Pauses a VM: it neither sends nor receives until it is resumed.
    pub fn pause(&self, address: SocketAddr) {
        self.state().paused.insert(address);
    }

    /// Resumes a paused VM, which continues with what it was doing.
    pub fn resume(&self, address: SocketAddr) {
        self.state().paused.remove(&address);
        self.resumed.send_replace(());
    }

    /// What the VM at `address` has sent and received since the start.
    pub fn traffic(&self, address: SocketAddr) -> Traffic {
        self.state().traffic.get(&address).copied().unwrap_or_default()
    }

    /// Returns as soon as the VM at `address` isn't paused.
    pub async fn wait_while_paused(&self, address: SocketAddr) {
        let mut resumed = self.resumed.subscribe();
        while self.state().paused.contains(&address) {
            if resumed.changed().await.is_err() {
                return;
            }
        }
    }

    async fn exchange(
        &self,
        from: SocketAddr,
        to: SocketAddr,
        message: Message,
    ) -> Result<Reply, Failure> {
        let lost = || Failure::Lost { context: to.to_string() };
        self.transmit(from, to, encoded_len(&message)).await.ok_or_else(lost)?;
        let Some(handler) = self.state().handlers.get(&to).cloned() else {
            return Err(Failure::NotSent { context: to.to_string() });
        };
        let reply = handler.handle(message).await;
        self.wait_while_paused(to).await;
        self.transmit(to, from, encoded_len(&reply)).await.ok_or_else(lost)?;
        Ok(reply)
    }

    /// Delivers `bytes` after the one-way delay; `None` when they are dropped.
    async fn transmit(&self, from: SocketAddr, to: SocketAddr, bytes: u64) -> Option<()> {
        let delay = self.send(from, to, bytes);
        let Some(delay) = delay else {
            tokio::time::sleep(REPLY_TIMEOUT.duration()).await;
            return None;
        };
        tokio::time::sleep(delay.duration()).await;
        self.wait_while_paused(to).await;
        self.state().traffic.entry(to).or_default().received_bytes += bytes;
        Some(())
    }

    /// Counts `bytes` as sent and returns their one-way delay; `None` when they are dropped.
    fn send(&self, from: SocketAddr, to: SocketAddr, bytes: u64) -> Option<Millis> {
        let mut state = self.state();
        let traffic = state.traffic.entry(from).or_default();
        traffic.messages += 1;
        traffic.sent_bytes += bytes;
        let loss = state.loss;
        let is_dropped = state.random.random_bool(loss);
        if is_dropped || state.partitions.contains(&(from, to)) {
            return None;
        }
        Some((state.delay)(from, to))
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn encoded_len<M>(message: &M) -> u64
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
        let exchange = self.network.exchange(self.from, to, message);
        let reply = tokio::time::timeout(REPLY_TIMEOUT.duration(), exchange).await;
        self.network.wait_while_paused(self.from).await;
        reply.unwrap_or_else(|_| Err(Failure::Lost { context: to.to_string() }))
    }
}
