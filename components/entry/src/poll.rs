use crate::core::Core;
use futures_util::future::join_all;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use tokio::task::JoinHandle;

/// What goes on in a VM whether requests come or not: load reports, planned drains and the steps
/// of shifts.
pub(crate) struct Poller {
    tasks: [JoinHandle<()>; 2],
}

impl Poller {
    pub(crate) fn new(core: &Arc<Core>) -> Poller {
        let poll = tokio::spawn(poll(Arc::downgrade(core)));
        let tick = tokio::spawn(tick(Arc::downgrade(core)));
        Poller { tasks: [poll, tick] }
    }

    pub(crate) fn stop(&self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Drop for Poller {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn tick(core: Weak<Core>) {
    while let Some(core) = core.upgrade() {
        let (clock, period) = (core.clock, core.settings.tick_interval);
        if let Ok(view) = core.view() {
            core.limits().tick(&view, clock.now());
        }
        drop(core);
        clock.sleep(period).await;
    }
}

async fn poll(core: Weak<Core>) {
    while let Some(core) = core.upgrade() {
        if let Ok(view) = core.view() {
            let now = core.clock.now();
            core.services().follow_drains(&view, now);
        }
        let addresses = core.services().addresses();
        let asking = addresses.into_iter().map(|(name, address)| ask(&core, name, address));
        join_all(asking).await;
        let (clock, period) = (core.clock, core.settings.poll_interval);
        drop(core);
        clock.sleep(period).await;
    }
}

// An upstream that gives no report keeps its last one: requests tell more than silence here.
async fn ask(core: &Core, name: Arc<str>, address: SocketAddr) {
    let Ok(load) = core.transport.load(address).await else {
        return;
    };
    let now = core.clock.now();
    let returned = core.services().note_load(&name, load, now);
    if returned && let Ok(view) = core.view() {
        core.services().update(&view, now);
    }
}
