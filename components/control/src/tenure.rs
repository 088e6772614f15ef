use crate::rows::{self, Lease, LeaseRow, PLAN, PLANNER, PlanRow};
use crate::setup::PLATFORM_TIMEOUT;
use crate::{Agent, trace};
use clock::Millis;
use std::sync::Arc;
use steering::Plan;
use store::{Check, Commit, Failure, Transaction, Write};

/// A lease whose row hasn't changed for this long may be taken over.
const LEASE: Millis = Millis(10_000);

/// Time between two renewals of the lease.
const RENEW: Millis = Millis(2000);

/// A holder's hold on the planner's lease.
///
/// What it believes of itself is never enough: each write checks the version of the lease's row,
/// so a holder that was paused past its lease writes nothing. See docs/CONFIGURATION.md.
pub(crate) struct Tenure {
    /// The lease, as this holder wrote it last.
    pub lease: LeaseRow,
    /// The plan in force.
    pub plan: PlanRow,
    /// When the lease was last written.
    renewed: Millis,
    /// When the plan in force was made; zero if another holder made it.
    pub planned: Millis,
    /// A write of which the outcome isn't known.
    unsettled: Option<Arc<str>>,
    /// Writes tried so far, so that each has an id of its own.
    attempts: u64,
}

impl Tenure {
    /// A hold that is still to be written over `lease`.
    fn over(lease: LeaseRow) -> Tenure {
        Tenure {
            lease,
            plan: PlanRow::default(),
            renewed: Millis::ZERO,
            planned: Millis::ZERO,
            unsettled: None,
            attempts: 0,
        }
    }
}

/// What became of a holder's write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Written {
    /// It took effect.
    Done,
    /// The platform didn't take it, or doesn't say so.
    NotYet,
    /// Another VM holds the lease by now.
    Superseded,
}

impl Agent {
    /// Takes the planner's lease if nobody renews it.
    pub(crate) async fn take_over(&self) -> Option<Tenure> {
        let now = self.settings.clock.now();
        let seen = self.state().lease.clone()?;
        if !seen.row.value.holder.is_empty() && now - seen.since < LEASE {
            return None;
        }
        let table = self.platform.table.as_ref();
        let row: LeaseRow = rows::read(table, PLANNER, PLATFORM_TIMEOUT).await.ok()?;
        if row.version != seen.row.version {
            self.state().sight_lease(row, now);
            return None;
        }
        let lease = Lease {
            holder: self.name(),
            incarnation: self.settings.incarnation,
            epoch: row.value.epoch + 1,
            beat: 0,
        };
        let mut tenure = Tenure::over(row);
        if self.write(&mut tenure, lease, None).await != Written::Done {
            return None;
        }
        tenure.plan = rows::read(table, PLAN, PLATFORM_TIMEOUT).await.ok()?;
        log::info!("holds the planner's lease in epoch {}", tenure.lease.value.epoch);
        Some(tenure)
    }

    /// Renews the lease when it is time.
    pub(crate) async fn renew(&self, tenure: &mut Tenure) -> Written {
        let now = self.settings.clock.now();
        if now - tenure.renewed < RENEW && tenure.unsettled.is_none() {
            return Written::Done;
        }
        let lease = beaten(&tenure.lease.value);
        self.write(tenure, lease, None).await
    }

    /// Commits `plan` if this VM still holds the lease.
    pub(crate) async fn commit_plan(&self, tenure: &mut Tenure, plan: Plan) -> Written {
        let lease = beaten(&tenure.lease.value);
        self.write(tenure, lease, Some(plan)).await
    }

    /// Gives the lease back, so that the next planner needn't wait for it to lapse.
    pub(crate) async fn release_lease(&self) {
        let seen = self.state().lease.clone();
        if !seen.is_some_and(|seen| self.is_own(&seen.row.value)) {
            return;
        }
        let table = self.platform.table.as_ref();
        let Ok(row) = rows::read::<Lease>(table, PLANNER, PLATFORM_TIMEOUT).await else { return };
        if !self.is_own(&row.value) {
            return;
        }
        let lease = Lease { holder: "".into(), ..beaten(&row.value) };
        let mut tenure = Tenure::over(row);
        // A lease that can't be given back lapses by itself.
        let _ = self.write(&mut tenure, lease, None).await;
    }

    pub(crate) fn is_own(&self, lease: &Lease) -> bool {
        lease.holder == self.settings.node.vm && lease.incarnation == self.settings.incarnation
    }

    /// Writes the lease, and the plan with it, if both rows are as this holder left them.
    async fn write(&self, tenure: &mut Tenure, lease: Lease, plan: Option<Plan>) -> Written {
        if tenure.unsettled.is_some() {
            return self.settle_tenure(tenure).await;
        }
        let id = self.write_id(tenure);
        let Ok(transaction) = transaction(&id, tenure, &lease, plan.as_ref()) else {
            return Written::NotYet;
        };
        let commit = self.platform.table.commit(transaction);
        match tokio::time::timeout(PLATFORM_TIMEOUT.duration(), commit).await {
            Ok(Ok(Commit::Done)) => {
                self.wrote(tenure, &id, lease, plan);
                Written::Done
            }
            Ok(Ok(Commit::Conflict { .. })) => Written::Superseded,
            Ok(Err(Failure::Unavailable { .. } | Failure::Refused { .. })) => Written::NotYet,
            Ok(Err(Failure::Lost { .. })) | Err(_) => {
                tenure.unsettled = Some(id);
                self.settle_tenure(tenure).await
            }
        }
    }

    fn write_id(&self, tenure: &mut Tenure) -> Arc<str> {
        tenure.attempts += 1;
        let vm = &self.settings.node.vm;
        let incarnation = self.settings.incarnation;
        let (version, attempt) = (tenure.lease.version, tenure.attempts);
        format!("planner-{vm}-{incarnation}-{version}-{attempt}").into()
    }

    fn wrote(&self, tenure: &mut Tenure, id: &Arc<str>, lease: Lease, plan: Option<Plan>) {
        let now = self.settings.clock.now();
        tenure.renewed = now;
        tenure.lease.version += 1;
        tenure.lease.value = lease;
        self.state().sight_lease(tenure.lease.clone(), now);
        let Some(plan) = plan else { return };
        trace::placed(&tenure.plan.value, &plan);
        tenure.planned = now;
        tenure.plan.version += 1;
        tenure.plan.transaction = Arc::clone(id);
        tenure.plan.value = plan.clone();
        self.install_plan(plan, &self.name());
    }

    /// Finds out by reading what became of a write whose answer was lost.
    ///
    /// The write may still be on its way; its checks then fail against the next write of this
    /// holder, or let it take effect first and fail the other, so that never do both.
    async fn settle_tenure(&self, tenure: &mut Tenure) -> Written {
        let Some(id) = tenure.unsettled.clone() else { return Written::Done };
        let table = self.platform.table.as_ref();
        let lease = rows::read::<Lease>(table, PLANNER, PLATFORM_TIMEOUT).await;
        let plan = rows::read::<Plan>(table, PLAN, PLATFORM_TIMEOUT).await;
        let (Ok(lease), Ok(plan)) = (lease, plan) else { return Written::NotYet };
        let now = self.settings.clock.now();
        if lease.transaction == id {
            if plan.transaction == id {
                trace::placed(&tenure.plan.value, &plan.value);
            }
            tenure.unsettled = None;
            tenure.renewed = now;
            tenure.lease = lease.clone();
            tenure.plan = plan.clone();
            self.state().sight_lease(lease, now);
            self.install_plan(plan.value, &self.name());
            return Written::Done;
        }
        if lease.version != tenure.lease.version {
            return Written::Superseded;
        }
        tenure.unsettled = None;
        Written::NotYet
    }
}

fn beaten(lease: &Lease) -> Lease {
    Lease { beat: lease.beat + 1, ..lease.clone() }
}

fn transaction(
    id: &Arc<str>,
    tenure: &Tenure,
    lease: &Lease,
    plan: Option<&Plan>,
) -> Result<Transaction, Failure> {
    let check = |key: &str, version| Check { key: key.into(), version };
    let mut checks = vec![check(PLANNER, tenure.lease.version)];
    let mut writes = vec![Write { key: PLANNER.into(), value: Some(rows::encode(lease)?) }];
    if let Some(plan) = plan {
        checks.push(check(PLAN, tenure.plan.version));
        writes.push(Write { key: PLAN.into(), value: Some(rows::encode(plan)?) });
    }
    Ok(Transaction { id: Arc::clone(id), checks, writes })
}
