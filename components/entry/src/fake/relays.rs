use crate::Entry;
use crate::fake::{Mode, Process};
use async_trait::async_trait;
use clock::{Clock, Millis};
use peer::relay::{Home, Order, Outcome};
use peer::{Failure, Relay};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The network over which entry VMs relay orders.
pub struct RelayNetwork {
    clock: Clock,
    delay: Millis,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    nodes: BTreeMap<SocketAddr, Node>,
    drop_outcomes: u32,
    partitioned: bool,
}

#[derive(Clone)]
struct Node {
    process: Process,
    entry: Entry,
}

impl RelayNetwork {
    /// A network without nodes, with `delay` one way.
    pub fn new(clock: Clock, delay: Millis) -> Arc<RelayNetwork> {
        Arc::new(RelayNetwork { clock, delay, state: Mutex::default() })
    }

    /// Puts `entry` at `address`, in place of any other there.
    pub fn attach(&self, address: SocketAddr, process: Process, entry: Entry) {
        self.state().nodes.insert(address, Node { process, entry });
    }

    /// Takes away the node at `address`.
    pub fn detach(&self, address: SocketAddr) {
        self.state().nodes.remove(&address);
    }

    /// Loses the next `count` outcomes on their way back.
    pub fn drop_outcomes(&self, count: u32) {
        self.state().drop_outcomes = count;
    }

    /// Cuts all entry VMs off from each other, or mends that.
    pub fn set_partitioned(&self, partitioned: bool) {
        self.state().partitioned = partitioned;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reach(&self, to: SocketAddr) -> Result<Node, Failure> {
        let state = self.state();
        let node = state.nodes.get(&to).filter(|node| node.process.mode() != Mode::Killed);
        let context = || format!("{to} can't be reached");
        match node {
            Some(node) if !state.partitioned => Ok(node.clone()),
            _ => Err(Failure::NotSent { context: context() }),
        }
    }

    fn loses_outcome(&self) -> bool {
        let mut state = self.state();
        let loses = state.partitioned || state.drop_outcomes > 0;
        state.drop_outcomes = state.drop_outcomes.saturating_sub(1);
        loses
    }
}

#[async_trait]
impl Relay for RelayNetwork {
    async fn relay(&self, to: SocketAddr, order: Order) -> Result<Outcome, Failure> {
        self.clock.sleep(self.delay).await;
        let node = self.reach(to)?;
        node.process.wait_running().await;
        let outcome = node.entry.run(order).await;
        node.process.wait_running().await;
        self.clock.sleep(self.delay).await;
        if self.loses_outcome() {
            return Err(Failure::Lost { context: format!("{to} didn't answer") });
        }
        Ok(outcome)
    }
}
