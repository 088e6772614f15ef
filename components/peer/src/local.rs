//! The transfer of snapshots from `controld` to the VM's `entryd`, over loopback.
//!
//! `entryd` fetches snapshots by long polling, so that a change arrives at once. A poll without a
//! change ends after [`LONG_POLL_TIMEOUT`], since `entryd` reports leaving upstreams only with its
//! next poll.

mod client;
mod server;

pub use client::{Client, merge};
pub use server::Server;

use async_trait::async_trait;
use clock::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;
use steering::Snapshot;

/// How long `controld` keeps a poll open when it has no new snapshot.
pub const LONG_POLL_TIMEOUT: Millis = Millis(300);

/// The maximum size of an encoded report, in bytes.
pub const MAX_REPORT: usize = 256 << 10;

/// The maximum size of an encoded snapshot, in bytes.
pub const MAX_SNAPSHOT: usize = 16 << 20;

/// Identifies one snapshot of one `controld` process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// The incarnation of the `controld` that made it.
    pub incarnation: u64,
    /// Incremented with each snapshot.
    pub number: u64,
}

/// The state of an `entryd`, which it reports with each poll for a snapshot.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The name of the VM.
    pub vm: Arc<str>,
    /// The incarnation of the `entryd`.
    pub incarnation: u64,
    /// The stamp of the last snapshot that it received; `None` before the first.
    pub stamp: Option<Stamp>,
    /// The epoch of the plan that it enforces.
    pub epoch: u64,
    /// The sequence of the plan that it enforces.
    pub sequence: u64,
    /// The number of that plan's shift.
    pub shift: u64,
    /// How much of that shift it has completed; [`steering::SHARE_SCALE`] is all of it.
    pub settled: u32,
    /// Whether it is shutting down.
    pub leaving: bool,
    /// The number of requests that it is serving.
    pub in_flight: u32,
    /// Requests per second offered to it, admitted or not, by destination region.
    pub demand: Vec<Demand>,
    /// Requests per second that the shift still has to move.
    pub moving: u32,
    /// Names of upstreams that reported to it that they are leaving.
    pub leaving_upstreams: Vec<Arc<str>>,
}

/// The rate of requests offered for one region.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The region's name.
    pub region: Arc<str>,
    /// Requests per second, admitted or not.
    pub rate: f64,
}

/// A published snapshot with its stamp.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StampedSnapshot {
    /// Identifies the snapshot.
    pub stamp: Stamp,
    /// The content.
    pub snapshot: Arc<Snapshot>,
}

/// The `controld` side: receives reports and provides snapshots.
#[async_trait]
pub trait Source: Send + Sync {
    /// Processes `report` and waits at most [`LONG_POLL_TIMEOUT`] for a snapshot whose stamp
    /// differs from the report's; `None` if there is none.
    async fn next(&self, report: Report) -> Option<StampedSnapshot>;
}
