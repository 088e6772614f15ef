use super::Fault;
use crate::{Check, Commit, ListedVm, Listing, Row, Transaction, Write};
use clock::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

pub(super) type Vms = BTreeMap<Arc<str>, ListedVm>;

/// Operations that the in-memory platform has carried out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Count {
    /// Rows read.
    pub reads: u64,
    /// Transactions that were committed.
    pub commits: u64,
    /// Transactions refused by a check.
    pub conflicts: u64,
    /// Reads of the VM list.
    pub lists: u64,
    /// Objects read.
    pub gets: u64,
    /// Objects written.
    pub puts: u64,
}

/// The VM list from a point in time until the next revision.
struct Revision {
    since: Millis,
    vms: Vms,
}

#[derive(Default)]
pub(super) struct State {
    pub rows: BTreeMap<Arc<str>, Row>,
    pub objects: BTreeMap<Arc<str>, Vec<u8>>,
    pub faults: Vec<Fault>,
    pub count: Count,
    history: Vec<Revision>,
}

impl State {
    /// Changes the VM list as of `now`.
    pub fn change<F>(&mut self, now: Millis, edit: F)
    where
        F: FnOnce(&mut Vms),
    {
        let mut vms = self.history.last().map(|last| last.vms.clone()).unwrap_or_default();
        edit(&mut vms);
        self.history.push(Revision { since: now, vms });
    }

    /// The VM list at the time `when`.
    pub fn listing(&self, when: Millis) -> Listing {
        let revision = self.history.iter().rev().find(|revision| revision.since <= when);
        let machines =
            revision.map(|revision| revision.vms.values().cloned().collect()).unwrap_or_default();
        Listing { machines }
    }

    /// Applies `transaction` if every check holds.
    pub fn commit(&mut self, transaction: Transaction) -> Commit {
        if let Some(key) = self.failed_check(&transaction.checks) {
            self.count.conflicts += 1;
            let row = self.rows.get(&key).cloned();
            return Commit::Conflict { key, row };
        }
        self.count.commits += 1;
        for write in transaction.writes {
            self.write(write, &transaction.id);
        }
        Commit::Done
    }

    fn failed_check(&self, checks: &[Check]) -> Option<Arc<str>> {
        let failed = checks.iter().find(|check| self.version(&check.key) != check.version);
        failed.map(|check| Arc::clone(&check.key))
    }

    fn version(&self, key: &str) -> u64 {
        self.rows.get(key).map_or(0, |row| row.version)
    }

    fn write(&mut self, write: Write, transaction: &Arc<str>) {
        let version = self.version(&write.key) + 1;
        match write.value {
            Some(value) => {
                let row = Row { version, value, transaction: Arc::clone(transaction) };
                self.rows.insert(write.key, row);
            }
            None => {
                self.rows.remove(&write.key);
            }
        }
    }

    pub fn delay(&self) -> Millis {
        let delays = self.faults.iter().filter_map(|fault| match fault {
            Fault::Slow(span) => Some(*span),
            _ => None,
        });
        delays.max().unwrap_or(Millis::ZERO)
    }

    pub fn lag(&self) -> Millis {
        let lags = self.faults.iter().filter_map(|fault| match fault {
            Fault::Lag(span) => Some(*span),
            _ => None,
        });
        lags.max().unwrap_or(Millis::ZERO)
    }

    /// Whether `outage` or a wider fault makes operations of the client `name` fail.
    pub fn is_out(&self, name: &str, outage: &Fault) -> bool {
        self.faults.iter().any(|fault| match fault {
            Fault::Down => true,
            Fault::Cut(client) => &**client == name,
            other => other == outage,
        })
    }

    /// Uses up one lost response; false if none is left.
    pub fn take_lost_response(&mut self) -> bool {
        self.decrement(|fault| match fault {
            Fault::LoseAnswers(remaining) => Some(remaining),
            _ => None,
        })
    }

    /// Uses up one lost request; false if none is left.
    pub fn take_lost_request(&mut self) -> bool {
        self.decrement(|fault| match fault {
            Fault::LoseRequests(remaining) => Some(remaining),
            _ => None,
        })
    }

    fn decrement<F>(&mut self, pick: F) -> bool
    where
        F: Fn(&mut Fault) -> Option<&mut u32>,
    {
        let Some(remaining) = self.faults.iter_mut().find_map(pick) else { return false };
        if *remaining == 0 {
            return false;
        }
        *remaining -= 1;
        true
    }
}
