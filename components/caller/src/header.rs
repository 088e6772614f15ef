//! Names of the headers that callers and heatherbend exchange.

/// The caller's block, such as `10.0.3.0/24`.
pub const BLOCK: &str = "x-block";
/// The request's id, which the answer repeats; one is made if it is missing.
pub const REQUEST_ID: &str = "x-request-id";
/// The time left for the request, in milliseconds.
pub const DEADLINE: &str = "x-deadline-ms";
/// The order's id; repeats of an order carry the same one.
pub const ORDER_ID: &str = "x-order-id";
/// `true` declares a POST, PATCH, PUT or DELETE to be safe to repeat.
pub const IDEMPOTENT: &str = "x-idempotent";
/// On refusals: `not_run`, `unknown` or `ran`.
pub const RAN: &str = "x-ran";
