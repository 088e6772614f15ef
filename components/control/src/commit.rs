use crate::Agent;
use crate::rows::{self, CURRENT, CurrentRow};
use crate::setup::PLATFORM_TIMEOUT;
use bytes::Bytes;
use clock::Millis;
use errors::Kind;
use operator::Refusal;
use operator::wire::Winner;
use peer::message::{Current, Operation};
use settings::{Declaration, Drain, ORDINARY};
use std::sync::Arc;
use store::{Check, Commit, Failure, Transaction, Write};

/// Operations that the row remembers, so that a lost answer can still be settled later.
const MAX_OPERATIONS: usize = 64;

/// How often a commit whose answer was lost is settled before its outcome is called unknown.
const SETTLE_ATTEMPTS: usize = 6;

/// Time between two attempts to settle a commit.
const SETTLE_PAUSE: Millis = Millis(500);

/// What an operator wants to change, decided on one version.
#[derive(Clone, Debug)]
pub(crate) struct Act {
    /// Identifies the act.
    pub operation: Arc<str>,
    /// The version the operator has seen.
    pub expected: u64,
    /// The change.
    pub change: Change,
}

/// A change of the configuration.
#[derive(Clone, Debug)]
pub(crate) enum Change {
    /// Another declaration.
    Apply(Box<Declaration>),
    /// Another preset.
    UsePreset(Arc<str>),
    /// One more drain.
    PlanDrain(Drain),
    /// One drain less.
    CancelDrain(Arc<str>),
}

/// A configuration that is ready to be committed.
struct Draft {
    current: Current,
    body: Bytes,
}

impl Agent {
    /// Commits `act` in one transaction on the version that the operator has seen, and returns
    /// the version that it made.
    ///
    /// # Errors
    ///
    /// [`Kind::Conflict`] with the winner, [`Kind::BadSettings`], [`Kind::PlatformDown`] when
    /// nothing was written, [`Kind::OutcomeUnknown`] when the write may have taken effect.
    pub(crate) async fn commit(&self, act: Act) -> Result<u64, Refusal> {
        let row = self.read_current().await.map_err(platform_down)?;
        if let Some(version) = version_of(&row.value, &act.operation) {
            return Ok(version);
        }
        if row.value.version != act.expected {
            return Err(conflict(&row.value));
        }
        self.install_row(row.clone()).await?;
        let draft = self.draft(&row.value, &act)?;
        if draft.current.digest != row.value.digest {
            self.store(&draft).await.map_err(platform_down)?;
        }
        let transaction = transaction(&act.operation, &row, &draft)?;
        let version = self.settle(transaction, &row).await?;
        if version == draft.current.version {
            self.install(draft.current, draft.body, &self.name())?;
        }
        Ok(version)
    }

    /// The version that `operation` made, or `None` if the row in force doesn't remember it.
    pub(crate) async fn find(&self, operation: &str) -> Result<Option<u64>, Failure> {
        let row = self.read_current().await?;
        Ok(version_of(&row.value, operation))
    }

    async fn read_current(&self) -> Result<CurrentRow, Failure> {
        rows::read(self.platform.table.as_ref(), CURRENT, PLATFORM_TIMEOUT).await
    }

    async fn store(&self, draft: &Draft) -> Result<(), Failure> {
        let put = self.platform.store.put(draft.body.to_vec());
        let late = |_| Failure::Unavailable { context: "the object store is slow".into() };
        tokio::time::timeout(PLATFORM_TIMEOUT.duration(), put).await.map_err(late)??;
        Ok(())
    }

    /// The configuration that follows `old` by `act`.
    fn draft(&self, old: &Current, act: &Act) -> Result<Draft, Refusal> {
        let installed = self.state().installed.clone();
        let installed = installed.filter(|installed| installed.current.version == old.version);
        let mut current = old.clone();
        let mut body = installed.as_ref().map(|installed| installed.body.clone());
        let declaration = installed.map(|installed| installed.declaration);
        match (&act.change, &declaration) {
            (Change::Apply(declaration), _) => {
                let encoded = Bytes::from(rows::encode(declaration.as_ref()).map_err(internal)?);
                apply(&mut current, declaration, store::digest(&encoded));
                body = Some(encoded);
            }
            (_, None) => return Err(bad("no declaration was applied yet")),
            (Change::UsePreset(name), Some(declaration)) => {
                use_preset(&mut current, declaration, name)?;
            }
            (Change::PlanDrain(drain), Some(declaration)) => {
                let now = self.settings.clock.now();
                current.drains.retain(|other| other.end > now);
                plan_drain(&mut current, declaration, drain)?;
            }
            (Change::CancelDrain(name), _) => cancel_drain(&mut current, name)?,
        }
        current.version += 1;
        remember(&mut current, &act.operation);
        let body = body.ok_or_else(|| bad("no declaration was applied yet"))?;
        Ok(Draft { current, body })
    }

    /// Commits `transaction`; a lost answer is settled by reading the row.
    ///
    /// The same transaction is committed again only after a read has shown that it didn't take
    /// effect; its check lets it take effect at most once, however often it arrives.
    async fn settle(&self, transaction: Transaction, old: &CurrentRow) -> Result<u64, Refusal> {
        let operation = Arc::clone(&transaction.id);
        let mut may_have_run = false;
        for _ in 0..SETTLE_ATTEMPTS {
            let commit = self.platform.table.commit(transaction.clone());
            let answer = tokio::time::timeout(PLATFORM_TIMEOUT.duration(), commit).await;
            match answer {
                Ok(Ok(Commit::Done)) => return Ok(old.value.version + 1),
                Ok(Ok(Commit::Conflict { row, .. })) => {
                    let row = rows::decode(CURRENT, row).map_err(internal)?;
                    return settled(&row, &operation);
                }
                Ok(Err(failure @ Failure::Refused { .. })) => return Err(internal(failure)),
                Ok(Err(failure @ Failure::Unavailable { .. })) if !may_have_run => {
                    return Err(platform_down(failure));
                }
                Ok(Err(_)) | Err(_) => may_have_run = true,
            }
            let Some(row) = self.reread().await else { break };
            if row.version != old.version {
                return settled(&row, &operation);
            }
        }
        Err(Refusal::unknown(operation, "the platform's answer was lost; ask for the outcome"))
    }

    /// Reads the row after a lost answer, again and again while the platform is down.
    async fn reread(&self) -> Option<CurrentRow> {
        for _ in 0..SETTLE_ATTEMPTS {
            self.settings.clock.sleep(SETTLE_PAUSE).await;
            if let Ok(row) = self.read_current().await {
                return Some(row);
            }
        }
        None
    }
}

/// The outcome of `operation` when the row has moved on from the version that it checked.
fn settled(row: &CurrentRow, operation: &str) -> Result<u64, Refusal> {
    version_of(&row.value, operation).ok_or_else(|| conflict(&row.value))
}

fn transaction(
    operation: &Arc<str>,
    old: &CurrentRow,
    draft: &Draft,
) -> Result<Transaction, Refusal> {
    let value = rows::encode(&draft.current).map_err(internal)?;
    Ok(Transaction {
        id: Arc::clone(operation),
        checks: vec![Check { key: CURRENT.into(), version: old.version }],
        writes: vec![Write { key: CURRENT.into(), value: Some(value) }],
    })
}

fn apply(current: &mut Current, declaration: &Declaration, digest: Arc<str>) {
    current.digest = digest;
    current.drains = declaration.drains.clone();
    let kept = declaration.presets.iter().any(|preset| preset.name == current.preset);
    if !kept {
        current.preset = ORDINARY.into();
    }
}

fn use_preset(
    current: &mut Current,
    declaration: &Declaration,
    name: &Arc<str>,
) -> Result<(), Refusal> {
    if !declaration.presets.iter().any(|preset| preset.name == *name) {
        return Err(bad(format!("preset `{name}` is unknown")));
    }
    current.preset = Arc::clone(name);
    Ok(())
}

fn plan_drain(
    current: &mut Current,
    declaration: &Declaration,
    drain: &Drain,
) -> Result<(), Refusal> {
    if current.drains.iter().any(|other| other.name == drain.name) {
        return Err(bad(format!("drain `{}` is planned already", drain.name)));
    }
    if let Some(problem) = settings::drain_problem(drain, &declaration.deployment) {
        return Err(bad(problem));
    }
    current.drains.push(drain.clone());
    Ok(())
}

fn cancel_drain(current: &mut Current, name: &Arc<str>) -> Result<(), Refusal> {
    let before = current.drains.len();
    current.drains.retain(|drain| drain.name != *name);
    if current.drains.len() == before {
        return Err(bad(format!("drain `{name}` isn't planned")));
    }
    Ok(())
}

fn remember(current: &mut Current, operation: &Arc<str>) {
    let version = current.version;
    current.operations.push(Operation { id: Arc::clone(operation), version });
    let surplus = current.operations.len().saturating_sub(MAX_OPERATIONS);
    current.operations.drain(..surplus);
}

fn version_of(current: &Current, operation: &str) -> Option<u64> {
    let found = current.operations.iter().find(|known| *known.id == *operation);
    found.map(|known| known.version)
}

fn conflict(current: &Current) -> Refusal {
    let operation = current.operations.last().map(|operation| Arc::clone(&operation.id));
    let operation = operation.unwrap_or_else(|| "none".into());
    Refusal::conflict(Winner { version: current.version, operation })
}

fn bad<C>(context: C) -> Refusal
where
    C: Into<String>,
{
    Refusal::new(Kind::BadSettings, context)
}

fn platform_down(failure: Failure) -> Refusal {
    Refusal::new(Kind::PlatformDown, failure.to_string())
}

fn internal(failure: Failure) -> Refusal {
    Refusal::new(Kind::Internal, failure.to_string())
}
