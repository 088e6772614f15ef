use crate::Refusal;
use crate::wire::{
    Accepted, Apply, CancelDrain, Current, Explain, Explanation, Outcome, PlanDrain, Status,
    UsePreset,
};
use async_trait::async_trait;
use std::sync::Arc;

/// What operators can ask of a control process.
///
/// An act that changes something carries the version it was decided on and an operation id that
/// the operator's side chose, so that a repeat is idempotent and a lost answer can be asked for
/// again with [`Api::outcome`].
///
/// # Errors
///
/// Acts return a [`Refusal`] of kind `conflict` (naming the winner) when the version in force is
/// another, `bad_settings` when the result wouldn't be a valid declaration, `platform_down` when
/// nothing was written, and `outcome_unknown` (naming the operation) when the write may have taken
/// effect.
#[async_trait]
pub trait Api: Send + Sync {
    /// The state of the fleet as this control process sees it.
    async fn status(&self) -> Result<Status, Refusal>;

    /// The declaration, preset and drains in force.
    async fn current(&self) -> Result<Current, Refusal>;

    /// Puts a declaration in force; its drains replace those in force, and the preset in force
    /// stays if the declaration still has it, and becomes `ordinary` otherwise.
    async fn apply(&self, act: Apply) -> Result<Accepted, Refusal>;

    /// Puts another preset in force.
    async fn use_preset(&self, act: UsePreset) -> Result<Accepted, Refusal>;

    /// Plans a drain.
    async fn plan_drain(&self, act: PlanDrain) -> Result<Accepted, Refusal>;

    /// Cancels a planned drain.
    async fn cancel_drain(&self, act: CancelDrain) -> Result<Accepted, Refusal>;

    /// Why callers of a block get the look-up answer that they get.
    async fn explain(&self, query: Explain) -> Result<Explanation, Refusal>;

    /// How the operation with this id ended, as far as the platform can tell.
    async fn outcome(&self, operation: Arc<str>) -> Result<Outcome, Refusal>;
}
