//! Selects the VMs that read from the store, so that its load doesn't grow with the fleet.
//!
//! A few VMs of each region read and forward changes to their peers; the others read only when
//! their state has not been confirmed for a while. See docs/DATAPATH.md, "Readers".

use clock::Millis;
use xxhash_rust::xxh3::xxh3_64;

/// In fleets of up to this size all VMs read: they make few calls, and changes arrive sooner.
const SMALL_FLEET: usize = 16;
/// Readers in each region; two may fail at the same time.
const READERS_PER_REGION: usize = 3;
/// Time without confirmation after which a VM reads from the store itself. Readers get a response
/// from the store every 2 s, and heartbeats forward that within about the same time.
const MAX_UNCONFIRMED: Millis = Millis(5_000);

/// Whether `vm` reads from the store. `peers` are the other live VMs of its region, `fleet` is the
/// number of all live VMs, and `confirmed` is the time since the state of `vm` was last confirmed.
pub fn is_reader<'a, Vms>(vm: &str, peers: Vms, fleet: usize, confirmed: Option<Millis>) -> bool
where
    Vms: Iterator<Item = &'a str>,
{
    if fleet <= SMALL_FLEET || confirmed.is_none_or(|age| age >= MAX_UNCONFIRMED) {
        return true;
    }
    let own = xxh3_64(vm.as_bytes());
    peers.filter(|other| xxh3_64(other.as_bytes()) > own).count() < READERS_PER_REGION
}
