//! How many bytes of requests an upstream is sent at a time.
//!
//! An upstream ends if the requests that it holds exceed its memory, which no VM knows, and one that
//! reads slowly holds them for long, here as well. See docs/design/slow-readers.md.

/// Bytes of requests that all VMs together send to one upstream at a time.
const BOUND_BYTES: u64 = 64 * 1024 * 1024;
/// The part of a VM's memory that its requests to one upstream may take.
const MEMORY_PART: u64 = 8;
/// Requests of this size don't count: the upstream's queue bounds their number.
const SMALL_BYTES: u64 = 16 * 1024;

/// The bytes of a request of `bytes` that count toward what an upstream holds.
pub fn counted(bytes: u64) -> u64 {
    if bytes <= SMALL_BYTES { 0 } else { bytes }
}

/// What one VM may send to each upstream beside what the upstream holds.
#[derive(Clone, Copy, Debug)]
pub struct Allowance {
    /// The bytes of the request to send.
    bytes: u64,
    /// The most bytes of the VM's requests that one upstream may hold.
    part: u64,
}

impl Allowance {
    /// The allowance for a request of `bytes` of one of `vms` VMs, which may use `memory` bytes.
    pub fn new(bytes: u64, vms: usize, memory: u64) -> Allowance {
        let part = (BOUND_BYTES / vms.max(1) as u64).min(memory / MEMORY_PART);
        Allowance { bytes, part }
    }

    /// Whether the request may be sent to an upstream that holds `held` counted bytes of the VM's
    /// requests. A single one is sent, however large, beside small ones.
    pub fn admits(&self, held: u64) -> bool {
        held == 0 || self.bytes <= SMALL_BYTES || held + self.bytes <= self.part
    }
}
