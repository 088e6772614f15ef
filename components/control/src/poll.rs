use crate::Agent;
use crate::rows::{self, CURRENT_KEY, LeaseRow, PLAN_KEY, PLANNER_KEY, PlanRow};
use crate::setup::{PLATFORM_TIMEOUT, poll_interval};
use clock::Millis;
use errors::{Error, Kind};
use rand::RngExt;
use store::Failure;

impl Agent {
    /// Polls the platform periodically, with a total rate that doesn't grow with a large fleet.
    pub(crate) async fn poll_platform(&self) {
        loop {
            let period = poll_interval(self.state().roster.len());
            let jitter = self.state().random.random_range(0..=period.0 / 4);
            self.settings.clock.sleep(period + Millis(jitter)).await;
            self.poll().await;
        }
    }

    /// Reads the table and the list of VMs once.
    pub(crate) async fn poll(&self) {
        let read = self.poll_table().await;
        if let Err(error) = &read {
            log::warn!("reading the platform's table failed: {error}; retrying at the next poll");
        }
        self.state().platform_up = read.is_ok();
        let listing =
            tokio::time::timeout(PLATFORM_TIMEOUT.duration(), self.platform.directory.list()).await;
        match listing {
            Ok(Ok(listing)) => {
                let now = self.settings.clock.now();
                if self.state().roster.apply_listing(&listing, now) {
                    self.snapshot_due.notify_one();
                }
            }
            Ok(Err(failure)) => {
                log::warn!("reading the list of VMs failed: {failure}; keeping the previous list");
            }
            Err(_) => log::warn!(
                "reading the list of VMs timed out after {PLATFORM_TIMEOUT}; \
                 keeping the previous list"
            ),
        }
    }

    async fn poll_table(&self) -> Result<(), Error> {
        let table = self.platform.table.as_ref();
        let current = rows::read(table, CURRENT_KEY, PLATFORM_TIMEOUT).await.map_err(down)?;
        self.install_row(current).await?;
        let plan: PlanRow = rows::read(table, PLAN_KEY, PLATFORM_TIMEOUT).await.map_err(down)?;
        self.install_plan(plan.value, &self.name());
        let lease: LeaseRow =
            rows::read(table, PLANNER_KEY, PLATFORM_TIMEOUT).await.map_err(down)?;
        let now = self.settings.clock.now();
        self.state().observe_lease(lease, now);
        Ok(())
    }
}

pub(crate) fn down(failure: Failure) -> Error {
    Error::new(Kind::PlatformDown, failure.to_string())
}
