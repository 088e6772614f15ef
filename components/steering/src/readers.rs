//! Which VMs follow the store, so that a large fleet's calls don't grow with its size.
//!
//! A few VMs of each region read and pass changes on; the others read only when what they know was
//! not confirmed for a while. See docs/DATAPATH.md, "Readers".

use clock::Millis;
use xxhash_rust::xxh3::xxh3_64;

/// Fleets of at most this size read everywhere: their calls are few, and news comes sooner.
const READ_EVERYWHERE: usize = 16;
/// Readers in each region; two may fail at once.
const READERS: usize = 3;
/// Time after which a VM reads itself when nobody confirmed what it knows. Readers hear from the
/// store every 2 s and heartbeats pass that on within about as long.
const UNCONFIRMED: Millis = Millis(5_000);

/// Whether `vm` follows the store, when `fleet` VMs are alive, `neighbours` of them in its region,
/// and what it knows was confirmed `confirmed` ago.
pub fn is_reader<'a, Vms>(
    vm: &str,
    neighbours: Vms,
    fleet: usize,
    confirmed: Option<Millis>,
) -> bool
where
    Vms: Iterator<Item = &'a str>,
{
    if fleet <= READ_EVERYWHERE || confirmed.is_none_or(|age| age >= UNCONFIRMED) {
        return true;
    }
    let own = xxh3_64(vm.as_bytes());
    neighbours.filter(|other| xxh3_64(other.as_bytes()) > own).count() < READERS
}
