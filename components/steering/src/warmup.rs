//! Keeps requests to cold upstreams below their rate without messages between VMs.
//!
//! Only a few VMs send to a cold upstream, selected by rendezvous hashing so that all VMs agree,
//! and each spaces its requests evenly. See docs/DATAPATH.md, "Cold upstreams".

use clock::Millis;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Most VMs that send to one cold upstream; up to twice as many while VMs disagree on the fleet.
const SENDERS: usize = 3;
/// Time in which a VM that has just started discovers its peers. Before that, it would take itself
/// for one of the few senders, as would all VMs that start at the same time.
const DISCOVERY_TIME: Millis = Millis(1_500);
/// Fraction of the rate that is used, since a VM that left the fleet may still be sending.
const RATE_USED: f64 = 0.6;

/// Whether `vm`, which started `age` ago, is one of the senders to the cold upstream `id`, where
/// `vms` are all live VMs.
pub fn is_sender<'a, Vms>(id: &str, vm: &str, age: Millis, vms: Vms) -> bool
where
    Vms: Iterator<Item = &'a str>,
{
    if age < DISCOVERY_TIME {
        return false;
    }
    let seed = xxh3_64_with_seed(id.as_bytes(), 0);
    let own = rank(seed, vm);
    vms.filter(|other| *other != vm && rank(seed, other) > own).count() < SENDERS
}

/// Whether `vm` is the one that checks the health of the upstream `id`, of itself and `others`.
pub fn is_checker<'a, Vms>(id: &str, vm: &str, mut others: Vms) -> bool
where
    Vms: Iterator<Item = &'a str>,
{
    let seed = xxh3_64_with_seed(id.as_bytes(), 0);
    let own = rank(seed, vm);
    others.all(|other| rank(seed, other) <= own)
}

/// The time between two requests of one sender to an upstream that bears `rate` requests a second.
pub fn spacing(rate: f64) -> Millis {
    let own = rate * RATE_USED / SENDERS as f64;
    if own <= 0.0 {
        return Millis::MAX;
    }
    Millis((1000.0 / own).ceil() as u64)
}

/// The rank of a VM as a sender to the upstream whose id hashes to `seed`.
fn rank(seed: u64, vm: &str) -> u64 {
    xxh3_64_with_seed(vm.as_bytes(), seed)
}
