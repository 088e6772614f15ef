//! Requests to cold upstreams, kept under their rate without talk between VMs.
//!
//! Only a few VMs send to a cold upstream, chosen by rendezvous so that all VMs agree, and each
//! spaces its requests evenly. See docs/DATAPATH.md, "Cold upstreams".

use clock::Millis;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The most VMs that send to one cold upstream; a fleet that disagrees may double it.
const SENDERS: usize = 3;
/// Time in which a VM that has started learns of the others; until then it would take itself for one
/// of the few senders, as would all that start with it.
const LEARNS_FLEET: Millis = Millis(1_500);
/// Part of the rate that is used, since a VM that left the fleet may still be sending.
const RATE_USED: f64 = 0.6;

/// Whether `vm`, which started `age` ago, is one of those that send to the cold upstream `id`, among
/// all live `vms`.
pub fn is_sender<'a, Vms>(id: &str, vm: &str, age: Millis, vms: Vms) -> bool
where
    Vms: Iterator<Item = &'a str>,
{
    if age < LEARNS_FLEET {
        return false;
    }
    let own = rank(id, vm);
    vms.filter(|other| *other != vm && rank(id, other) > own).count() < SENDERS
}

/// The time between two requests of one sender to an upstream that bears `rate` a second.
pub fn spacing(rate: f64) -> Millis {
    let own = rate * RATE_USED / SENDERS as f64;
    if own <= 0.0 {
        return Millis::MAX;
    }
    Millis((1000.0 / own).ceil() as u64)
}

fn rank(id: &str, vm: &str) -> u64 {
    xxh3_64_with_seed(vm.as_bytes(), xxh3_64_with_seed(id.as_bytes(), 0))
}
