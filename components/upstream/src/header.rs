//! Names of the headers that heatherbend and upstreams exchange.

/// The time until the request's deadline, in milliseconds.
pub const DEADLINE: &str = "x-deadline-ms";
/// The request's id; if an upstream echoes it, heatherbend detects a response to another request.
pub const REQUEST_ID: &str = "x-request-id";
/// The order's id, present on non-idempotent requests.
pub const ORDER_ID: &str = "x-order-id";
/// Set to `true` by an upstream that is shutting down and accepts no new requests.
pub const LEAVING: &str = "x-leaving";
