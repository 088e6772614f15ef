use crate::Agent;
use crate::rows::{self, CURRENT_KEY, CurrentRow};
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

/// Operations that the row records, so that the outcome of one whose response was lost can still be
/// looked up later.
const MAX_RECORDED_OPERATIONS: usize = 64;

/// How many times a commit is sent, and how many times the row is read after each lost response,
/// before the outcome is reported as unknown.
const CONFIRM_ATTEMPTS: usize = 6;

/// Time before each read of the row after a lost response.
const CONFIRM_INTERVAL: Millis = Millis(500);

/// A change that an operator requests, based on one version of the configuration.
#[derive(Clone, Debug)]
pub(crate) struct ChangeRequest {
    /// The id of the operation, chosen by the operator's side.
    pub operation: Arc<str>,
    /// The version that the change is based on; the change is refused when another is in force.
    pub expected: u64,
    /// What to change.
    pub change: Change,
}

/// A change of the configuration.
#[derive(Clone, Debug)]
pub(crate) enum Change {
    /// Put another declaration in force.
    Apply(Box<Declaration>),
    /// Put the preset with this name in force.
    UsePreset(Arc<str>),
    /// Add a drain.
    PlanDrain(Drain),
    /// Remove the drain with this name.
    CancelDrain(Arc<str>),
}

/// A configuration that is ready to be committed.
struct Draft {
    current: Current,
    body: Bytes,
}

impl Agent {
    /// Commits `request` in one transaction that checks the expected version, and returns the
    /// version that it made.
    ///
    /// # Errors
    ///
    /// [`Kind::Conflict`] with the operation that won when another version is in force,
    /// [`Kind::BadSettings`] when the result would be invalid, [`Kind::PlatformDown`] when nothing
    /// was written, [`Kind::OutcomeUnknown`] when the write may have taken effect,
    /// [`Kind::Malformed`] or [`Kind::Internal`] when the row or its declaration can't be read.
    pub(crate) async fn commit(&self, request: ChangeRequest) -> Result<u64, Refusal> {
        let row = self.read_current().await.map_err(platform_down)?;
        if let Some(version) = version_made_by(&row.value, &request.operation) {
            return Ok(version);
        }
        if row.value.version != request.expected {
            return Err(conflict(&row.value));
        }
        self.install_row(row.clone()).await?;
        let draft = self.draft(&row.value, &request)?;
        if draft.current.digest != row.value.digest {
            self.store_declaration(&draft).await.map_err(platform_down)?;
        }
        let transaction = transaction(&request.operation, &row, &draft)?;
        let version = self.commit_transaction(transaction, &row).await?;
        if version == draft.current.version {
            self.install(draft.current, draft.body, &self.name())?;
        }
        Ok(version)
    }

    /// The version that `operation` made, or `None` if the row has no record of it.
    pub(crate) async fn find_operation(&self, operation: &str) -> Result<Option<u64>, Failure> {
        let row = self.read_current().await?;
        Ok(version_made_by(&row.value, operation))
    }

    async fn read_current(&self) -> Result<CurrentRow, Failure> {
        rows::read(self.platform.table.as_ref(), CURRENT_KEY, PLATFORM_TIMEOUT).await
    }

    async fn store_declaration(&self, draft: &Draft) -> Result<(), Failure> {
        let put = self.platform.store.put(draft.body.to_vec());
        let late = |_| Failure::Unavailable {
            context: format!("the object store did not respond within {PLATFORM_TIMEOUT}"),
        };
        tokio::time::timeout(PLATFORM_TIMEOUT.duration(), put).await.map_err(late)??;
        Ok(())
    }

    /// The configuration that results from applying `request` to `old`.
    fn draft(&self, old: &Current, request: &ChangeRequest) -> Result<Draft, Refusal> {
        let installed = self.state().installed.clone();
        let installed = installed.filter(|installed| installed.current.version == old.version);
        let mut current = old.clone();
        let mut body = installed.as_ref().map(|installed| installed.body.clone());
        let declaration = installed.map(|installed| installed.declaration);
        match (&request.change, &declaration) {
            (Change::Apply(declaration), _) => {
                let encoded = Bytes::from(rows::encode(declaration.as_ref()).map_err(internal)?);
                apply(&mut current, declaration, store::digest(&encoded));
                body = Some(encoded);
            }
            (_, None) => return Err(bad_settings("no declaration was applied yet")),
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
        record_operation(&mut current, &request.operation);
        let body = body.ok_or_else(|| bad_settings("no declaration was applied yet"))?;
        Ok(Draft { current, body })
    }

    /// Commits `transaction`; after a lost response, reads the row to find out the outcome.
    ///
    /// The same transaction is sent again only after a read has shown that it hasn't taken effect.
    /// Its check of the row's version lets it take effect at most once, however often it arrives.
    async fn commit_transaction(
        &self,
        transaction: Transaction,
        old: &CurrentRow,
    ) -> Result<u64, Refusal> {
        let operation = Arc::clone(&transaction.id);
        let mut may_have_run = false;
        for _ in 0..CONFIRM_ATTEMPTS {
            let commit = self.platform.table.commit(transaction.clone());
            let response = tokio::time::timeout(PLATFORM_TIMEOUT.duration(), commit).await;
            match response {
                Ok(Ok(Commit::Done)) => return Ok(old.value.version + 1),
                Ok(Ok(Commit::Conflict { row, .. })) => {
                    let row = rows::decode(CURRENT_KEY, row).map_err(internal)?;
                    return outcome_from_row(&row, &operation);
                }
                Ok(Err(failure @ Failure::Refused { .. })) => return Err(internal(failure)),
                Ok(Err(failure @ Failure::Unavailable { .. })) if !may_have_run => {
                    return Err(platform_down(failure));
                }
                Ok(Err(_)) | Err(_) => may_have_run = true,
            }
            let Some(row) = self.read_current_with_retries().await else { break };
            if row.version != old.version {
                return outcome_from_row(&row, &operation);
            }
        }
        Err(Refusal::unknown(operation, "the platform's answer was lost; ask for the outcome"))
    }

    /// Reads the row after a lost response, with retries while the platform is down.
    async fn read_current_with_retries(&self) -> Option<CurrentRow> {
        for _ in 0..CONFIRM_ATTEMPTS {
            self.settings.clock.sleep(CONFIRM_INTERVAL).await;
            if let Ok(row) = self.read_current().await {
                return Some(row);
            }
        }
        None
    }
}

/// The outcome of `operation` when the row's version is no longer the one that it checked.
fn outcome_from_row(row: &CurrentRow, operation: &str) -> Result<u64, Refusal> {
    version_made_by(&row.value, operation).ok_or_else(|| conflict(&row.value))
}

fn transaction(
    operation: &Arc<str>,
    old: &CurrentRow,
    draft: &Draft,
) -> Result<Transaction, Refusal> {
    let value = rows::encode(&draft.current).map_err(internal)?;
    Ok(Transaction {
        id: Arc::clone(operation),
        checks: vec![Check { key: CURRENT_KEY.into(), version: old.version }],
        writes: vec![Write { key: CURRENT_KEY.into(), value: Some(value) }],
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
        return Err(bad_settings(format!("preset `{name}` is unknown")));
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
        return Err(bad_settings(format!("drain `{}` is planned already", drain.name)));
    }
    if let Some(problem) = settings::drain_problem(drain, &declaration.deployment) {
        return Err(bad_settings(problem));
    }
    current.drains.push(drain.clone());
    Ok(())
}

fn cancel_drain(current: &mut Current, name: &Arc<str>) -> Result<(), Refusal> {
    let before = current.drains.len();
    current.drains.retain(|drain| drain.name != *name);
    if current.drains.len() == before {
        return Err(bad_settings(format!("drain `{name}` isn't planned")));
    }
    Ok(())
}

fn record_operation(current: &mut Current, operation: &Arc<str>) {
    let version = current.version;
    current.operations.push(Operation { id: Arc::clone(operation), version });
    let surplus = current.operations.len().saturating_sub(MAX_RECORDED_OPERATIONS);
    current.operations.drain(..surplus);
}

fn version_made_by(current: &Current, operation: &str) -> Option<u64> {
    let found = current.operations.iter().find(|known| *known.id == *operation);
    found.map(|known| known.version)
}

fn conflict(current: &Current) -> Refusal {
    let operation = current.operations.last().map(|operation| Arc::clone(&operation.id));
    let operation = operation.unwrap_or_else(|| "none".into());
    Refusal::conflict(Winner { version: current.version, operation })
}

fn bad_settings<C>(context: C) -> Refusal
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
