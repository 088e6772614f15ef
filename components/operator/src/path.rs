//! The paths of the operators' interface.

pub(crate) const STATUS: &str = "v1/status";
pub(crate) const CURRENT: &str = "v1/current";
pub(crate) const APPLY: &str = "v1/apply";
pub(crate) const USE_PRESET: &str = "v1/preset";
pub(crate) const PLAN_DRAIN: &str = "v1/drains/plan";
pub(crate) const CANCEL_DRAIN: &str = "v1/drains/cancel";
pub(crate) const EXPLAIN: &str = "v1/explain";
pub(crate) const OUTCOME: &str = "v1/outcome";
pub(crate) const METRICS: &str = "metrics";

/// The maximum size of a declaration in JSON, whose escapes can make it longer than its files.
pub(crate) const APPLY_LIMIT_BYTES: usize = 8 << 20;
/// The maximum size of any other request to the interface.
pub(crate) const MESSAGE_LIMIT_BYTES: usize = 64 << 10;
