use clock::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

/// How long shares may be used after the coordinator last confirmed its row. It covers an outage of
/// the store.
pub const LEASE_SPAN: Millis = Millis::from_secs(15);
/// Added to a predecessor's lease span, for clocks of different speeds.
pub const SPEED_MARGIN: Millis = Millis(50);
/// How long after their coordinator's last confirmation leases may be in use, by any clock.
pub const PREDECESSOR_SPAN: Millis = Millis(LEASE_SPAN.0 + SPEED_MARGIN.0);
/// Bits of an epoch that count within an era of the store.
const EPOCH_BITS: u32 = 32;

/// The row of the store that says which process is the coordinator.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// Increases with each coordinator.
    pub epoch: u64,
    /// The coordinator's VM.
    pub vm: Arc<str>,
    /// Tells the coordinator's process from others of its VM.
    pub process: u64,
    /// The era of the store in which the row was written.
    pub era: u64,
    /// The VMs that may hold shares.
    pub names: BTreeSet<Arc<str>>,
    /// The VMs that may give tokens of the reserve: the coordinator's, and those of predecessors that
    /// may not know yet that they were replaced.
    #[serde(default)]
    pub givers: BTreeSet<Arc<str>>,
    /// Whether VMs that it doesn't name may hold shares or give tokens, as the store came back from an
    /// older copy.
    #[serde(default)]
    pub unknown: bool,
    /// Where the coordinator gets messages, for processes that know no other VM yet.
    #[serde(default)]
    pub address: Option<SocketAddr>,
    /// How long after the write of the row that may last, if the row says so; VMs of earlier versions
    /// don't.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub unknown_for: Option<Millis>,
}

/// What a new coordinator knows of the shares of its predecessors' epochs.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Start {
    /// The VMs that may hold some.
    pub names: BTreeSet<Arc<str>>,
    /// The VMs that may still give tokens of the reserve.
    pub givers: BTreeSet<Arc<str>>,
    /// When all of them have lapsed.
    pub until: Millis,
    /// Until when other VMs may hold some as well, as the row may be an old one.
    pub unknown_until: Option<Millis>,
    /// Whether the row named other VMs than its coordinator's.
    pub named_others: bool,
}

impl Start {
    /// Whether only one VM that may give tokens was not heard, and all others were, without which it
    /// gives none.
    pub fn is_giver_alone(&self) -> bool {
        let is_giver = |name: &Arc<str>| self.givers.contains(name);
        self.named_others && self.givers.len() == 1 && self.names.iter().all(is_giver)
    }

    /// Whether VMs that the row doesn't name may hold shares at `now`.
    pub fn is_unknown(&self, now: Millis) -> bool {
        self.unknown_until.is_some_and(|until| now < until)
    }
}

/// The time in which a process is the coordinator.
#[derive(Clone, Debug)]
pub struct Term {
    /// The row as last written.
    pub row: Row,
    /// Its version in the store.
    pub version: u64,
    confirmed: Millis,
    is_alone: bool,
}

impl Term {
    /// The row by which `vm` becomes the coordinator after `last`, as read in `era`.
    pub fn claim(last: Option<&Row>, era: u64, vm: &Arc<str>, process: u64) -> Row {
        let last_epoch = last.map_or(0, |row| row.epoch);
        let own = Arc::clone(vm);
        // A row of an earlier era may have replaced one of this era, as versions are given out again:
        // leases of a coordinator which it doesn't name may have been confirmed until now.
        let unknown_for = match last {
            Some(last) if last.era == era => match last.unknown {
                true => Some(last.unknown_for.unwrap_or(PREDECESSOR_SPAN)),
                false => None,
            },
            _ => (era != 0).then_some(PREDECESSOR_SPAN),
        };
        Row {
            epoch: (last_epoch + 1).max(era << EPOCH_BITS),
            vm: Arc::clone(vm),
            process,
            era,
            names: last.map(|row| row.names.clone()).unwrap_or_default(),
            givers: last.map(givers).unwrap_or_default().into_iter().chain([own]).collect(),
            unknown: unknown_for.is_some(),
            address: None,
            unknown_for,
        }
    }

    /// The term that begins with the write of `row` after `last`, sent at `sent` and acknowledged at
    /// `now`; and what may still be held.
    pub fn begin(
        last: Option<&Row>,
        row: Row,
        version: u64,
        sent: Millis,
        now: Millis,
    ) -> (Term, Start) {
        let is_first = last.is_none() && row.era == 0;
        let unknown_until = row.unknown_for.map(|span| now + span);
        let names = last.map(|last| last.names.clone()).unwrap_or_default();
        // This process follows its own epoch, and no other process of its VM is left.
        let mut givers = last.map(givers).unwrap_or_default();
        givers.remove(&row.vm);
        let until = if is_first { now } else { now + PREDECESSOR_SPAN };
        let is_alone = row.names.len() <= 1;
        let named_others = names.len() > 1;
        let start = Start { names, givers, until, unknown_until, named_others };
        (Term { row, version, confirmed: sent, is_alone }, start)
    }

    /// Records that `row` is about to be written, perhaps without an answer.
    pub fn attempt(&mut self, row: &Row) {
        self.row.names.retain(|name| row.names.contains(name));
        self.is_alone &= row.names.len() <= 1;
    }

    /// Whether the row names no other VM.
    pub fn is_alone(&self) -> bool {
        self.is_alone
    }

    /// Records that `row` was written with a call that was sent at `sent`.
    pub fn confirm(&mut self, row: Row, version: u64, sent: Millis) {
        self.is_alone = row.names.len() <= 1;
        (self.row, self.version, self.confirmed) = (row, version, self.confirmed.max(sent));
    }

    /// When the row was last confirmed.
    pub fn confirmed(&self) -> Millis {
        self.confirmed
    }

    /// How long shares may be used from now on.
    pub fn valid(&self, now: Millis) -> Millis {
        self.confirmed + LEASE_SPAN - now
    }
}

/// The VMs that may give tokens when `row` is replaced.
fn givers(row: &Row) -> BTreeSet<Arc<str>> {
    row.givers.iter().chain([&row.vm]).cloned().collect()
}
