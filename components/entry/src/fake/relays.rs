use crate::Entry;
use crate::fake::{Mode, Process};
use async_trait::async_trait;
use clock::{Clock, Millis};
use peer::relay::{Executor, Order, Outcome};
use peer::{Failure, Relay};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// An in-memory network over which entry VMs relay orders.
pub struct RelayNetwork {
    clock: Clock,
    delay: Millis,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    vms: BTreeMap<SocketAddr, EntryVm>,
    drop_outcomes: u32,
    partitioned: bool,
}

#[derive(Clone)]
struct EntryVm {
    process: Process,
    entry: Entry,
}

impl RelayNetwork {
    /// A network without entry VMs and with a one-way delay of `delay`.
    pub fn new(clock: Clock, delay: Millis) -> Arc<RelayNetwork> {
        Arc::new(RelayNetwork { clock, delay, state: Mutex::default() })
    }

    /// Attaches `entry` at `address`, and replaces any other entry there.
    pub fn attach(&self, address: SocketAddr, process: Process, entry: Entry) {
        self.state().vms.insert(address, EntryVm { process, entry });
    }

    /// Detaches the entry at `address`.
    pub fn detach(&self, address: SocketAddr) {
        self.state().vms.remove(&address);
    }

    /// Drops the next `count` outcomes on their way back.
    pub fn drop_outcomes(&self, count: u32) {
        self.state().drop_outcomes = count;
    }

    /// Partitions all entry VMs from each other, or ends the partition.
    pub fn set_partitioned(&self, partitioned: bool) {
        self.state().partitioned = partitioned;
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn find_reachable(&self, to: SocketAddr) -> Result<EntryVm, Failure> {
        let state = self.state();
        let vm = state.vms.get(&to).filter(|vm| vm.process.mode() != Mode::Killed);
        let context = || format!("{to} can't be reached");
        match vm {
            Some(vm) if !state.partitioned => Ok(vm.clone()),
            _ => Err(Failure::NotSent { context: context() }),
        }
    }

    fn drops_outcome(&self) -> bool {
        let mut state = self.state();
        let drops = state.partitioned || state.drop_outcomes > 0;
        state.drop_outcomes = state.drop_outcomes.saturating_sub(1);
        drops
    }
}

#[async_trait]
impl Relay for RelayNetwork {
    async fn relay(&self, to: SocketAddr, order: Order) -> Result<Outcome, Failure> {
        self.clock.sleep(self.delay).await;
        let vm = self.find_reachable(to)?;
        vm.process.wait_running().await;
        let outcome = vm.entry.run(order).await;
        vm.process.wait_running().await;
        self.clock.sleep(self.delay).await;
        if self.drops_outcome() {
            return Err(Failure::Lost { context: format!("{to} didn't answer") });
        }
        Ok(outcome)
    }
}
