use crate::Roster;
use peer::message::{Record, RosterDigest};
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The average number of records in one part of a roster.
const RECORDS_PER_PART: usize = 12;

/// The most records of one part in a reply.
const MAX_RECORDS_PER_REPLY: usize = 32;

impl Roster {
    /// The digest of one part of the roster, chosen by the random number `draw`.
    pub fn part_digest(&self, draw: u16) -> RosterDigest {
        let parts = self.records.len().div_ceil(RECORDS_PER_PART).min(usize::from(u16::MAX)) as u16;
        let part = draw % parts.max(1);
        RosterDigest { part, parts, digest: self.digest(part, parts) }
    }

    /// This roster's records of the part that `theirs` covers; empty if the digests are equal.
    pub fn records_if_different(&self, theirs: RosterDigest) -> Vec<Record> {
        if theirs.parts == 0 || self.digest(theirs.part, theirs.parts) == theirs.digest {
            return Vec::new();
        }
        self.part(theirs.part, theirs.parts).take(MAX_RECORDS_PER_REPLY).cloned().collect()
    }

    fn part(&self, part: u16, parts: u16) -> impl Iterator<Item = &Record> {
        let parts = u64::from(parts.max(1));
        self.records
            .values()
            .filter(move |record| xxh3_64(record.vm.name.as_bytes()) % parts == u64::from(part))
    }

    fn digest(&self, part: u16, parts: u16) -> u64 {
        let digest = |record: &Record| {
            let name = xxh3_64(record.vm.name.as_bytes());
            xxh3_64_with_seed(&record.beat.to_le_bytes(), name ^ record.vm.state as u64)
        };
        self.part(part, parts).fold(0, |sum, record| sum ^ digest(record))
    }
}
