//! Counts how the requests of `heatherbend try --requests` ended.

use caller::client::Outcome;
use clock::Millis;
use errors::Execution;
use hdrhistogram::Histogram;
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;

const LATENCY_MAX_MS: u64 = 60_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// The outcomes of each service.
#[derive(Default)]
pub struct Summary {
    services: BTreeMap<Arc<str>, Outcomes>,
}

/// The outcomes of one service.
struct Outcomes {
    answered: u64,
    /// Refused, and no upstream executed the request.
    not_run: u64,
    /// Refused, and an upstream executed the request or may have done so.
    unknown: u64,
    /// Responses whose body isn't the expected one; also counted as answered.
    corrupt: u64,
    latency: Histogram<u32>,
}

/// The outcomes of one service, as printed; latencies in milliseconds.
#[derive(Serialize)]
struct Row<'a> {
    service: &'a str,
    answered: u64,
    not_run: u64,
    unknown: u64,
    not_whole: u64,
    p50_ms: u64,
    p99_ms: u64,
    p999_ms: u64,
}

impl Summary {
    /// Counts one request and its latency; `intact` says whether the response had the right body.
    pub fn record(&mut self, service: &Arc<str>, outcome: &Outcome, latency: Millis, intact: bool) {
        let outcomes = self.services.entry(Arc::clone(service)).or_default();
        match outcome {
            Outcome::Answered { .. } => outcomes.answered += 1,
            Outcome::Refused { ran: Execution::NotRun, .. } => outcomes.not_run += 1,
            Outcome::Refused { .. } => outcomes.unknown += 1,
        }
        outcomes.corrupt += u64::from(!intact);
        outcomes.latency.saturating_record(latency.0);
    }

    /// Adds another caller's outcomes.
    pub fn add(&mut self, other: &Summary) {
        for (service, outcomes) in &other.services {
            let total = self.services.entry(Arc::clone(service)).or_default();
            total.answered += outcomes.answered;
            total.not_run += outcomes.not_run;
            total.unknown += outcomes.unknown;
            total.corrupt += outcomes.corrupt;
            // Both histograms have the same bounds.
            let _ = total.latency.add(&outcomes.latency);
        }
    }

    /// The summary as one JSON document.
    pub fn to_json(&self) -> String {
        serde_json::to_string(&self.rows()).unwrap_or_default()
    }

    fn rows(&self) -> Vec<Row<'_>> {
        self.services.iter().map(|(service, outcomes)| outcomes.row(service)).collect()
    }
}

impl Outcomes {
    fn row<'a>(&self, service: &'a str) -> Row<'a> {
        Row {
            service,
            answered: self.answered,
            not_run: self.not_run,
            unknown: self.unknown,
            not_whole: self.corrupt,
            p50_ms: self.latency.value_at_quantile(0.5),
            p99_ms: self.latency.value_at_quantile(0.99),
            p999_ms: self.latency.value_at_quantile(0.999),
        }
    }
}

impl Default for Outcomes {
    fn default() -> Outcomes {
        let histogram = Histogram::new_with_max(LATENCY_MAX_MS, SIGNIFICANT_DIGITS);
        let latency = histogram.expect("the bounds are valid constants");
        Outcomes { answered: 0, not_run: 0, unknown: 0, corrupt: 0, latency }
    }
}

impl fmt::Display for Summary {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<16}{:>10}{:>10}{:>10}{:>11}{:>9}{:>9}{:>9}",
            "service",
            "answered",
            "not run",
            "unknown",
            "not whole",
            "p50 ms",
            "p99 ms",
            "p99.9 ms"
        )?;
        for row in self.rows() {
            writeln!(
                f,
                "{:<16}{:>10}{:>10}{:>10}{:>11}{:>9}{:>9}{:>9}",
                row.service,
                row.answered,
                row.not_run,
                row.unknown,
                row.not_whole,
                row.p50_ms,
                row.p99_ms,
                row.p999_ms
            )?;
        }
        Ok(())
    }
}
