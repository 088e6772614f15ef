use crate::core::Core;
use futures_util::future::join_all;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};
use tokio::task::JoinHandle;

/// Asks upstreams for their load and follows planned drains, again and again.
pub(crate) struct Poller {
    task: JoinHandle<()>,
}

impl Poller {
    pub(crate) fn new(core: &Arc<Core>) -> Poller {
        Poller { task: tokio::spawn(poll(Arc::downgrade(core))) }
    }

    pub(crate) fn stop(&self) {
        self.task.abort();
    }
}

impl Drop for Poller {
    fn drop(&mut self) {
        self.stop();
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
        let (clock, period) = (core.clock, core.config.poll);
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
