use crate::Refusal;
use crate::wire::{
    Accepted, Apply, CancelDrain, Current, Explain, Explanation, Outcome, PlanDrain, Status,
    UsePreset,
};
use async_trait::async_trait;
use std::sync::Arc;

/// The requests of operators to a control process.
///
/// A change carries the version on which the operator decided and an operation id that the
/// operator's client chose, so that a retry is idempotent and [`Api::outcome`] can query the
/// outcome after a lost response.
///
/// # Errors
///
/// Changes return a [`Refusal`] of kind `conflict` (naming the winner) when another version is in
/// force, `bad_settings` when the result wouldn't be a valid declaration, `platform_down` when
/// nothing was written, and `outcome_unknown` (naming the operation) when the write may have taken
/// effect.
#[async_trait]
pub trait Api: Send + Sync {
    /// The state of the fleet as this control process sees it.
    async fn status(&self) -> Result<Status, Refusal>;

    /// The declaration, preset and drains in force.
    async fn current(&self) -> Result<Current, Refusal>;

    /// Puts a declaration in force. Its drains replace the planned ones. The preset in force stays
    /// if the declaration still has it, and becomes `ordinary` otherwise.
    async fn apply(&self, change: Apply) -> Result<Accepted, Refusal>;

    /// Puts another preset in force.
    async fn use_preset(&self, change: UsePreset) -> Result<Accepted, Refusal>;

    /// Plans a drain.
    async fn plan_drain(&self, change: PlanDrain) -> Result<Accepted, Refusal>;

    /// Cancels a planned drain.
    async fn cancel_drain(&self, change: CancelDrain) -> Result<Accepted, Refusal>;

    /// Explains the look-up response that callers of a block get.
    async fn explain(&self, query: Explain) -> Result<Explanation, Refusal>;

    /// Whether the operation with this id was committed, as far as the platform's rows show.
    async fn outcome(&self, operation: Arc<str>) -> Result<Outcome, Refusal>;
}
