use super::Fault;
use crate::{Check, Commit, ListedVm, Listing, Row, Transaction, Write};
use clock::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::sync::Arc;

pub(super) type Machines = BTreeMap<Arc<str>, ListedVm>;

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

/// The VM list as it stood from a point in time on.
struct Epoch {
    since: Millis,
    machines: Machines,
}

#[derive(Default)]
pub(super) struct State {
    pub rows: BTreeMap<Arc<str>, Row>,
    pub objects: BTreeMap<Arc<str>, Vec<u8>>,
    pub faults: Vec<Fault>,
    pub count: Count,
    history: Vec<Epoch>,
}

impl State {
    /// Changes the VM list as of `now`.
    pub fn change<F>(&mut self, now: Millis, edit: F)
    where
        F: FnOnce(&mut Machines),
    {
        let mut machines =
            self.history.last().map(|last| last.machines.clone()).unwrap_or_default();
        edit(&mut machines);
        self.history.push(Epoch { since: now, machines });
    }

    /// The VM list as it stood at `when`.
    pub fn listing(&self, when: Millis) -> Listing {
        let epoch = self.history.iter().rev().find(|epoch| epoch.since <= when);
        let machines =
            epoch.map(|epoch| epoch.machines.values().cloned().collect()).unwrap_or_default();
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

    /// Whether the client `name` is refused an operation on which `kind` of outage bears.
    pub fn is_out(&self, name: &str, kind: &Fault) -> bool {
        self.faults.iter().any(|fault| match fault {
            Fault::Down => true,
            Fault::Cut(client) => &**client == name,
            other => other == kind,
        })
    }

    /// Takes one of the lost answers, if any is due.
    pub fn spend_lost_answer(&mut self) -> bool {
        self.spend(|fault| match fault {
            Fault::LoseAnswers(left) => Some(left),
            _ => None,
        })
    }

    /// Takes one of the lost requests, if any is due.
    pub fn spend_lost_request(&mut self) -> bool {
        self.spend(|fault| match fault {
            Fault::LoseRequests(left) => Some(left),
            _ => None,
        })
    }

    fn spend<F>(&mut self, pick: F) -> bool
    where
        F: Fn(&mut Fault) -> Option<&mut u32>,
    {
        let Some(left) = self.faults.iter_mut().find_map(pick) else { return false };
        if *left == 0 {
            return false;
        }
        *left -= 1;
        true
    }
}
