//! Names of the headers that callers and heatherbend exchange.

/// The caller's block, such as `10.0.3.0/24`.
pub const BLOCK: &str = "x-block";
/// The request's id, echoed in the response; generated if missing.
pub const REQUEST_ID: &str = "x-request-id";
/// The time until the caller's deadline, in milliseconds.
pub const DEADLINE: &str = "x-deadline-ms";
/// The order's id; retries of an order carry the same one.
pub const ORDER_ID: &str = "x-order-id";
/// `true` declares that a POST, PATCH, PUT or DELETE is idempotent.
pub const IDEMPOTENT: &str = "x-idempotent";
/// Whether a refused request was executed: `not_run`, `unknown` or `ran`.
pub const RAN: &str = "x-ran";
