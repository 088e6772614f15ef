use crate::Agent;
use crate::rows::{self, CURRENT, LeaseRow, PLAN, PLANNER, PlanRow};
use crate::setup::{PLATFORM_TIMEOUT, poll_period};
use clock::Millis;
use errors::{Error, Kind};
use rand::RngExt;
use store::Failure;

impl Agent {
    /// Reads the platform again and again, at a rate that is fixed for the fleet.
    pub(crate) async fn poll_platform(&self) {
        loop {
            let period = poll_period(self.state().roster.len());
            let jitter = self.state().random.random_range(0..=period.0 / 4);
            self.settings.clock.sleep(period + Millis(jitter)).await;
            self.poll().await;
        }
    }

    /// Reads the table and the VM list once.
    pub(crate) async fn poll(&self) {
        let read = self.poll_table().await;
        if let Err(error) = &read {
            log::warn!("can't read the table: {error}");
        }
        self.state().platform_up = read.is_ok();
        let listing =
            tokio::time::timeout(PLATFORM_TIMEOUT.duration(), self.platform.directory.list()).await;
        match listing {
            Ok(Ok(listing)) => {
                let now = self.settings.clock.now();
                if self.state().roster.list(&listing, now) {
                    self.changed.notify_one();
                }
            }
            Ok(Err(failure)) => log::warn!("can't read the VM list: {failure}"),
            Err(_) => log::warn!("can't read the VM list in {PLATFORM_TIMEOUT}"),
        }
    }

    async fn poll_table(&self) -> Result<(), Error> {
        let table = self.platform.table.as_ref();
        let current = rows::read(table, CURRENT, PLATFORM_TIMEOUT).await.map_err(down)?;
        self.install_row(current).await?;
        let plan: PlanRow = rows::read(table, PLAN, PLATFORM_TIMEOUT).await.map_err(down)?;
        self.install_plan(plan.value, &self.name());
        let lease: LeaseRow = rows::read(table, PLANNER, PLATFORM_TIMEOUT).await.map_err(down)?;
        let now = self.settings.clock.now();
        self.state().sight_lease(lease, now);
        Ok(())
    }
}

pub(crate) fn down(failure: Failure) -> Error {
    Error::new(Kind::PlatformDown, failure.to_string())
}
