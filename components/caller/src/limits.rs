//! Limits of requests; a request beyond them is refused without reading the rest.

use clock::Millis;

/// Header fields of a request.
pub const HEADERS_MAX: usize = 64;
/// Bytes of all header names and values together.
pub const HEADER_BYTES_MAX: usize = 16 << 10;
/// Bytes of a path and its query.
pub const PATH_BYTES_MAX: usize = 4 << 10;
/// Bytes of a body.
pub const BODY_BYTES_MAX: usize = 1 << 20;
/// Bytes of a service's name, a request's id or an order's id.
pub const NAME_BYTES_MAX: usize = 160;
/// Bytes of a renewal token.
pub const TOKEN_BYTES_MAX: usize = 256;
/// The longest deadline.
pub const DEADLINE_MAX: Millis = Millis::from_secs(3600);
