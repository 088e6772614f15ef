//! Divides upstreams' slots among entry VMs.

/// The slots of each upstream that the entry VM `index` of `entry_vms` owns.
///
/// The slots are cut into consecutive runs, so that an entry VM owns most slots of few upstreams
/// and its own count of requests in flight tells almost their whole load. Every entry VM computes
/// the same runs from the same snapshot, and the parts sum exactly to the slots.
pub(super) fn own(slots: &[u32], entry_vms: usize, index: usize) -> Vec<u32> {
    let total: u64 = slots.iter().map(|&count| u64::from(count)).sum();
    let boundary = |at: usize| total * at as u64 / entry_vms.max(1) as u64;
    let first = boundary(index);
    let end = boundary(index + 1);
    let mut before = 0;
    let mut owned = Vec::with_capacity(slots.len());
    for &count in slots {
        let after = before + u64::from(count);
        let overlap = after.min(end).saturating_sub(before.max(first));
        owned.push(overlap as u32);
        before = after;
    }
    owned
}
