use crate::core::Core;
use futures_util::future::join_all;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use tokio::task::JoinHandle;

/// The periodic tasks of an entry VM: load queries to upstreams, planned drains and shifts.
pub(crate) struct BackgroundTasks {
    tasks: [JoinHandle<()>; 2],
}

impl BackgroundTasks {
    pub(crate) fn new(core: &Arc<Core>) -> BackgroundTasks {
        let poll_load = tokio::spawn(poll_load(Arc::downgrade(core)));
        let tick_limits = tokio::spawn(tick_limits(Arc::downgrade(core)));
        BackgroundTasks { tasks: [poll_load, tick_limits] }
    }

    pub(crate) fn stop(&self) {
        self.tasks.iter().for_each(JoinHandle::abort);
    }
}

impl Drop for BackgroundTasks {
    fn drop(&mut self) {
        self.stop();
    }
}

async fn tick_limits(core: Weak<Core>) {
    while let Some(core) = core.upgrade() {
        let (clock, period) = (core.clock, core.settings.tick_interval);
        if let Ok(view) = core.view() {
            core.limits().tick(&view, clock.now());
        }
        drop(core);
        clock.sleep(period).await;
    }
}

async fn poll_load(core: Weak<Core>) {
    while let Some(core) = core.upgrade() {
        if let Ok(view) = core.view() {
            let now = core.clock.now();
            core.services().apply_drains(&view, now);
        }
        let addresses = core.services().addresses();
        let queries = addresses.into_iter().map(|(name, address)| fetch_load(&core, name, address));
        join_all(queries).await;
        let (clock, period) = (core.clock, core.settings.poll_interval);
        drop(core);
        clock.sleep(period).await;
    }
}

// An upstream that sends no load report keeps its last one: failed requests are better evidence
// that it is unhealthy than a missing report.
async fn fetch_load(core: &Core, name: Arc<str>, address: SocketAddr) {
    let Ok(load) = core.transport.load(address).await else {
        return;
    };
    let now = core.clock.now();
    let returned = core.services().record_load(&name, load, now);
    if returned && let Ok(view) = core.view() {
        core.services().update(&view, now);
    }
}
