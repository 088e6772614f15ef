//! The hand-over of snapshots from `controld` to its `entryd`, over loopback.
//!
//! `entryd` asks again as soon as it has an answer, and `controld` keeps the question open until
//! it has something new, so a change arrives at once; it answers without one after a while, since
//! `entryd` tells of leaving upstreams only when it asks again.

mod client;
mod server;

pub use client::{Client, merge};
pub use server::Server;

use async_trait::async_trait;
use clock::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use steering::Snapshot;

/// How long `controld` keeps a question open when it has nothing new.
pub const LONG_POLL_TIMEOUT: Millis = Millis(300);

/// The longest report, encoded, in bytes.
pub const MAX_REPORT: usize = 256 << 10;

/// The longest snapshot, encoded, in bytes.
pub const MAX_SNAPSHOT: usize = 16 << 20;

/// Identifies one snapshot of one run of `controld`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The incarnation of the `controld` that made it.
    pub incarnation: u64,
    /// Rises by one with each snapshot.
    pub number: u64,
}

/// What `entryd` tells its `controld` when it asks for a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The VM that asks.
    pub vm: Arc<str>,
    /// The incarnation of the `entryd` that asks.
    pub incarnation: u64,
    /// The snapshot that it has; `None` at its start.
    pub stamp: Option<Stamp>,
    /// The epoch of the plan that it enforces.
    pub epoch: u64,
    /// The sequence of the plan that it enforces.
    pub sequence: u64,
    /// The number of that plan's shift.
    pub shift: u64,
    /// How much of that shift it has done, in units of [`steering::SHARE_SCALE`].
    pub settled: u32,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// Requests that it is serving.
    pub in_flight: u32,
    /// Requests a second that it was asked for, by destination region.
    pub demand: Vec<Demand>,
    /// Requests a second that a shift is still to move.
    pub moving: u32,
    /// Upstreams that told it they are leaving.
    pub leaving_upstreams: Vec<Arc<str>>,
}

/// The load offered for one region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The region.
    pub region: Arc<str>,
    /// Requests a second, admitted or not.
    pub rate: f64,
}

/// A snapshot and its stamp.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StampedSnapshot {
    /// Identifies the snapshot.
    pub stamp: Stamp,
    /// The snapshot.
    pub snapshot: Arc<Snapshot>,
}

/// The side of `controld`: takes reports and gives snapshots.
#[async_trait]
pub trait Source: Send + Sync {
    /// Takes `report` and waits at most [`LONG_POLL_TIMEOUT`] for a snapshot with another stamp.
    async fn next(&self, report: Report) -> Option<StampedSnapshot>;
}
