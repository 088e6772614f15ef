use crate::rows::{self, Lease, LeaseRow, PLAN_KEY, PLANNER_KEY, PlanRow};
use crate::setup::PLATFORM_TIMEOUT;
use crate::{Agent, trace};
use clock::Millis;
use std::sync::Arc;
use steering::Plan;
use store::{Check, Commit, Failure, Transaction, Write};

/// How long the lease's row must be unchanged before another VM may take over the lease.
const LEASE_DURATION: Millis = Millis(10_000);

/// Time between two renewals of the lease.
const RENEWAL_INTERVAL: Millis = Millis(2000);

/// The state of a VM that holds the planner's lease.
///
/// The holder never relies on this state alone: each write checks the version of the lease's row,
/// so the writes of a holder that was paused past its lease fail. See docs/CONFIGURATION.md.
pub(crate) struct Leadership {
    /// The row of the lease as this holder wrote it last.
    pub lease: LeaseRow,
    /// The row of the plan in force.
    pub plan: PlanRow,
    /// When the lease was last written, by this VM's clock.
    renewed_at: Millis,
    /// When the plan in force was committed, by this VM's clock; zero if another holder did it.
    pub planned_at: Millis,
    /// The transaction id of a write whose outcome isn't known.
    pending_write: Option<Arc<str>>,
    /// The number of writes attempted, which makes each transaction id unique.
    attempts: u64,
}

impl Leadership {
    /// The state before the first write, which replaces the row `lease`.
    fn new(lease: LeaseRow) -> Leadership {
        Leadership {
            lease,
            plan: PlanRow::default(),
            renewed_at: Millis::ZERO,
            planned_at: Millis::ZERO,
            pending_write: None,
            attempts: 0,
        }
    }
}

/// The outcome of a holder's write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum WriteOutcome {
    /// The write took effect.
    Applied,
    /// The write didn't take effect or its outcome isn't known yet; the holder tries again later.
    RetryLater,
    /// A row was changed since this holder last wrote or read it, so it must not plan any more:
    /// another VM may hold the lease.
    Superseded,
}

impl Agent {
    /// Takes over the planner's lease if it was released or its holder no longer renews it.
    pub(crate) async fn acquire_lease(&self) -> Option<Leadership> {
        let now = self.settings.clock.now();
        let observed = self.state().lease.clone()?;
        if !observed.row.value.holder.is_empty() && now - observed.since < LEASE_DURATION {
            return None;
        }
        let table = self.platform.table.as_ref();
        let row: LeaseRow = rows::read(table, PLANNER_KEY, PLATFORM_TIMEOUT).await.ok()?;
        if row.version != observed.row.version {
            self.state().observe_lease(row, now);
            return None;
        }
        let lease = Lease {
            holder: self.name(),
            incarnation: self.settings.incarnation,
            epoch: row.value.epoch + 1,
            beat: 0,
        };
        let mut term = Leadership::new(row);
        if self.write(&mut term, lease, None).await != WriteOutcome::Applied {
            return None;
        }
        term.plan = rows::read(table, PLAN_KEY, PLATFORM_TIMEOUT).await.ok()?;
        log::info!(
            "acquired the planner's lease in epoch {}; this VM plans now",
            term.lease.value.epoch
        );
        Some(term)
    }

    /// Renews the lease if the renewal interval has passed or a write is pending.
    pub(crate) async fn renew(&self, term: &mut Leadership) -> WriteOutcome {
        let now = self.settings.clock.now();
        if now - term.renewed_at < RENEWAL_INTERVAL && term.pending_write.is_none() {
            return WriteOutcome::Applied;
        }
        let lease = renewed(&term.lease.value);
        self.write(term, lease, None).await
    }

    /// Commits `plan` if this VM still holds the lease.
    pub(crate) async fn commit_plan(&self, term: &mut Leadership, plan: Plan) -> WriteOutcome {
        let lease = renewed(&term.lease.value);
        self.write(term, lease, Some(plan)).await
    }

    /// Releases the lease, so that the next planner needn't wait for it to expire.
    pub(crate) async fn release_lease(&self) {
        let observed = self.state().lease.clone();
        if !observed.is_some_and(|observed| self.is_own_lease(&observed.row.value)) {
            return;
        }
        let table = self.platform.table.as_ref();
        let Ok(row) = rows::read::<Lease>(table, PLANNER_KEY, PLATFORM_TIMEOUT).await else {
            return;
        };
        if !self.is_own_lease(&row.value) {
            return;
        }
        let lease = Lease { holder: "".into(), ..renewed(&row.value) };
        let mut term = Leadership::new(row);
        // A lease that can't be released expires by itself.
        let _ = self.write(&mut term, lease, None).await;
    }

    /// Whether this run of the agent holds `lease`.
    pub(crate) fn is_own_lease(&self, lease: &Lease) -> bool {
        lease.holder == self.settings.node.vm && lease.incarnation == self.settings.incarnation
    }

    /// Writes the lease, and the plan if given, unless a row was changed by another write.
    async fn write(&self, term: &mut Leadership, lease: Lease, plan: Option<Plan>) -> WriteOutcome {
        if term.pending_write.is_some() {
            return self.resolve_pending_write(term).await;
        }
        let id = self.write_id(term);
        let Ok(transaction) = transaction(&id, term, &lease, plan.as_ref()) else {
            return WriteOutcome::RetryLater;
        };
        let commit = self.platform.table.commit(transaction);
        match tokio::time::timeout(PLATFORM_TIMEOUT.duration(), commit).await {
            Ok(Ok(Commit::Done)) => {
                self.record_write(term, &id, lease, plan);
                WriteOutcome::Applied
            }
            Ok(Ok(Commit::Conflict { .. })) => WriteOutcome::Superseded,
            Ok(Err(Failure::Unavailable { .. } | Failure::Refused { .. })) => {
                WriteOutcome::RetryLater
            }
            Ok(Err(Failure::Lost { .. })) | Err(_) => {
                term.pending_write = Some(id);
                self.resolve_pending_write(term).await
            }
        }
    }

    fn write_id(&self, term: &mut Leadership) -> Arc<str> {
        term.attempts += 1;
        let vm = &self.settings.node.vm;
        let incarnation = self.settings.incarnation;
        let (version, attempt) = (term.lease.version, term.attempts);
        format!("planner-{vm}-{incarnation}-{version}-{attempt}").into()
    }

    fn record_write(&self, term: &mut Leadership, id: &Arc<str>, lease: Lease, plan: Option<Plan>) {
        let now = self.settings.clock.now();
        term.renewed_at = now;
        term.lease.version += 1;
        term.lease.value = lease;
        self.state().observe_lease(term.lease.clone(), now);
        let Some(plan) = plan else { return };
        trace::log_plan(&term.plan.value, &plan);
        term.planned_at = now;
        term.plan.version += 1;
        term.plan.transaction = Arc::clone(id);
        term.plan.value = plan.clone();
        self.install_plan(plan, &self.name());
    }

    /// Finds out by reading the rows whether a write whose response was lost has taken effect.
    ///
    /// The write may still be in transit. It checks the same row versions as this holder's next
    /// write, so whichever arrives first takes effect and the other fails, never both.
    async fn resolve_pending_write(&self, term: &mut Leadership) -> WriteOutcome {
        let Some(id) = term.pending_write.clone() else { return WriteOutcome::Applied };
        let table = self.platform.table.as_ref();
        let lease = rows::read::<Lease>(table, PLANNER_KEY, PLATFORM_TIMEOUT).await;
        let plan = rows::read::<Plan>(table, PLAN_KEY, PLATFORM_TIMEOUT).await;
        let (Ok(lease), Ok(plan)) = (lease, plan) else { return WriteOutcome::RetryLater };
        let now = self.settings.clock.now();
        if lease.transaction == id {
            if plan.transaction == id {
                trace::log_plan(&term.plan.value, &plan.value);
            }
            term.pending_write = None;
            term.renewed_at = now;
            term.lease = lease.clone();
            term.plan = plan.clone();
            self.state().observe_lease(lease, now);
            self.install_plan(plan.value, &self.name());
            return WriteOutcome::Applied;
        }
        if lease.version != term.lease.version {
            return WriteOutcome::Superseded;
        }
        term.pending_write = None;
        WriteOutcome::RetryLater
    }
}

fn renewed(lease: &Lease) -> Lease {
    Lease { beat: lease.beat + 1, ..lease.clone() }
}

fn transaction(
    id: &Arc<str>,
    term: &Leadership,
    lease: &Lease,
    plan: Option<&Plan>,
) -> Result<Transaction, Failure> {
    let check = |key: &str, version| Check { key: key.into(), version };
    let mut checks = vec![check(PLANNER_KEY, term.lease.version)];
    let mut writes = vec![Write { key: PLANNER_KEY.into(), value: Some(rows::encode(lease)?) }];
    if let Some(plan) = plan {
        checks.push(check(PLAN_KEY, term.plan.version));
        writes.push(Write { key: PLAN_KEY.into(), value: Some(rows::encode(plan)?) });
    }
    Ok(Transaction { id: Arc::clone(id), checks, writes })
}
