//! Names of the headers that heatherbend and upstreams exchange.

/// The time that the upstream has left for the request, in milliseconds.
pub const DEADLINE: &str = "x-deadline-ms";
/// The request's id; an upstream that echoes it lets heatherbend detect a mixed-up answer.
pub const REQUEST_ID: &str = "x-request-id";
/// The order's id, present on non-idempotent requests.
pub const ORDER_ID: &str = "x-order-id";
/// Set to `true` by an upstream that is about to leave and wants no new work.
pub const LEAVING: &str = "x-leaving";
