//! The division of upstreams' slots among entry VMs.

/// The part of each upstream's slots that entry `index` of `entries` owns.
///
/// The slots are cut into consecutive runs, so that an entry owns most slots of few upstreams and
/// its own count of requests in flight says nearly all about them. Every entry works out the same
/// cuts from the same roster, and the parts sum exactly to the slots.
pub(super) fn own(slots: &[u32], entries: usize, index: usize) -> Vec<u32> {
    let total: u64 = slots.iter().map(|&count| u64::from(count)).sum();
    let cut = |at: usize| total * at as u64 / entries.max(1) as u64;
    let first = cut(index);
    let end = cut(index + 1);
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
