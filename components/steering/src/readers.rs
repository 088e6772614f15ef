//! Selects the VMs that read from the store, so that its load doesn't grow with the fleet.
//!
//! A few VMs of each region read and forward changes to their peers; the others read only when
//! their copy has not been confirmed for a while. See docs/DATAPATH.md, "Readers".

use crate::staleness::Limits;
use clock::Millis;
use std::cmp::Reverse;
use xxhash_rust::xxh3::xxh3_64;

/// In fleets of up to this size all VMs read: they make few calls, and changes arrive sooner.
const SMALL_FLEET: usize = 16;
/// Readers in each region; two may fail at the same time.
const READERS_PER_REGION: usize = 3;
/// The longest time that a request for changes waits.
const MAX_POLL_WAIT: Millis = Millis(2_000);

/// The shortest wait of a reader's request, as a divisor of the age for requests to readers; it
/// limits the calls when the copy isn't confirmed.
const MIN_WAIT_DIVISOR: u64 = 4;

/// How a VM gets the changes of a feed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It follows the store's feed.
    Reader,
    /// Its copy is too old, so it reads the changes from the store once.
    Refresher,
    /// It relies on its peers.
    Follower,
}

/// The role of `vm`. `peers` are the other live VMs of its region, `fleet` is the number of all
/// live VMs, and `age` is the time since the copy of `vm` was last confirmed.
pub fn role<'a, Vms>(
    vm: &str,
    peers: Vms,
    fleet: usize,
    age: Option<Millis>,
    limits: Limits,
) -> Role
where
    Vms: Iterator<Item = &'a str>,
{
    let own = xxh3_64(vm.as_bytes());
    if fleet <= SMALL_FLEET
        || peers.filter(|other| xxh3_64(other.as_bytes()) > own).count() < READERS_PER_REGION
    {
        Role::Reader
    } else if age.is_none_or(|age| age >= limits.read) {
        Role::Refresher
    } else {
        Role::Follower
    }
}

/// The readers among `vms`, the live VMs of a region of a large fleet.
pub fn select<'a, Vms>(vms: Vms) -> Vec<&'a str>
where
    Vms: Iterator<Item = &'a str>,
{
    let mut ranked: Vec<&str> = vms.collect();
    ranked.sort_unstable_by_key(|vm| Reverse(xxh3_64(vm.as_bytes())));
    ranked.truncate(READERS_PER_REGION);
    ranked
}

/// How long a reader's request waits for changes, if its copy was confirmed `age` ago. A response
/// confirms the copies of the whole region, so in a large fleet it must come before they are old
/// enough for requests to readers. Everywhere, a connection that went silent must have been
/// replaced within the settling time.
pub fn poll_wait(fleet: usize, age: Option<Millis>, limits: Limits, settling: Millis) -> Millis {
    let wait = MAX_POLL_WAIT.min(Millis(settling.0 / 2));
    if fleet <= SMALL_FLEET {
        return wait;
    }
    let shortest = Millis(limits.request.0 / MIN_WAIT_DIVISOR);
    wait.min(limits.request - age.unwrap_or_default()).max(shortest)
}
