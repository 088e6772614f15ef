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
pub struct Relays {
    clock: Clock,
    delay: Millis,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    nodes: BTreeMap<SocketAddr, Node>,
    lose_outcomes: u32,
    cut: bool,
}

#[derive(Clone)]
struct Node {
    process: Process,
    entry: Entry,
}

impl Relays {
    /// A network without nodes, with `delay` one way.
    pub fn new(clock: Clock, delay: Millis) -> Arc<Relays> {
        Arc::new(Relays { clock, delay, state: Mutex::default() })
    }

    /// Puts `entry` at `address`, in place of any other there.
    pub fn put(&self, address: SocketAddr, process: Process, entry: Entry) {
        self.state().nodes.insert(address, Node { process, entry });
    }

    /// Takes away the node at `address`.
    pub fn remove(&self, address: SocketAddr) {
        self.state().nodes.remove(&address);
    }

    /// Loses the next `count` outcomes on their way back.
    pub fn lose_outcomes(&self, count: u32) {
        self.state().lose_outcomes = count;
    }

    /// Cuts all entry VMs off from each other, or mends that.
    pub fn set_cut(&self, cut: bool) {
        self.state().cut = cut;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reach(&self, to: SocketAddr) -> Result<Node, Failure> {
        let state = self.state();
        let node = state.nodes.get(&to).filter(|node| node.process.mode() != Mode::Killed);
        let context = || format!("{to} can't be reached");
        match node {
            Some(node) if !state.cut => Ok(node.clone()),
            _ => Err(Failure::NotSent { context: context() }),
        }
    }

    fn loses_outcome(&self) -> bool {
        let mut state = self.state();
        let loses = state.cut || state.lose_outcomes > 0;
        state.lose_outcomes = state.lose_outcomes.saturating_sub(1);
        loses
    }
}

#[async_trait]
impl Relay for Relays {
    async fn relay(&self, to: SocketAddr, order: Order) -> Result<Outcome, Failure> {
        self.clock.sleep(self.delay).await;
        let node = self.reach(to)?;
        node.process.pass().await;
        let outcome = node.entry.run(order).await;
        node.process.pass().await;
        self.clock.sleep(self.delay).await;
        if self.loses_outcome() {
            return Err(Failure::Lost { context: format!("{to} didn't answer") });
        }
        Ok(outcome)
    }
}
