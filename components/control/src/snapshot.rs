use crate::Agent;
use crate::setup::MIN_SNAPSHOT_INTERVAL;
use peer::local::{Stamp, StampedSnapshot};
use std::sync::Arc;
use steering::Snapshot;

impl Agent {
    /// Publishes a snapshot whenever its content has changed.
    pub(crate) async fn publish_snapshots(&self) {
        loop {
            self.publish();
            self.settings.clock.sleep(MIN_SNAPSHOT_INTERVAL).await;
            self.snapshot_due.notified().await;
        }
    }

    fn publish(&self) {
        let Some(snapshot) = self.snapshot() else { return };
        self.snapshots.send_if_modified(|last| {
            if last.as_ref().is_some_and(|last| *last.snapshot == snapshot) {
                return false;
            }
            let number = last.as_ref().map_or(1, |last| last.stamp.number + 1);
            let stamp = Stamp { incarnation: self.settings.incarnation, number };
            *last = Some(StampedSnapshot { stamp, snapshot: Arc::new(snapshot) });
            true
        });
    }

    /// The snapshot for this VM's `entryd`; `None` until there is a configuration.
    fn snapshot(&self) -> Option<Snapshot> {
        let now = self.settings.clock.now();
        let state = self.state();
        let installed = state.installed.as_ref()?;
        let presets = &installed.declaration.presets;
        let preset = presets.iter().find(|preset| preset.name == installed.current.preset)?;
        Some(Snapshot {
            version: installed.current.version,
            digest: Arc::clone(&installed.current.digest),
            deployment: Arc::new(installed.declaration.deployment.clone()),
            preset: preset.clone(),
            drains: installed.current.drains.clone(),
            plan: state.plan.as_ref().clone(),
            vms: state.roster.vms(),
            upstreams: state.roster.upstreams(now),
        })
    }
}
