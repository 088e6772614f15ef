//! The callers' listener: look-ups, leases and requests.
