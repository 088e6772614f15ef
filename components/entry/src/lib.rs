//! The data plane: look-ups, forwarding, limits, retries, hedges and orders.
