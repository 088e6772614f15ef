//! Benchmarks one look-up, with nine entry VMs and at the design size.

use clock::Millis;
use criterion::Criterion;
use std::hint::black_box;
use std::sync::Arc;
use steering::sample::{self, Size};
use steering::{Index, lookup};

const NOW: Millis = Millis(1_000_000);

fn lookups(criterion: &mut Criterion) {
    for size in [Size::TODAY, Size::DESIGN] {
        let index = Index::new(Arc::new(sample::snapshot(size)));
        let count = size.sites as u32 * size.blocks;
        let mut next = 0u32;
        criterion.bench_function(&format!("lookup/{}", size.vms), |bencher| {
            bencher.iter(|| {
                next = (next + 7919) % count;
                let block = 2 * next;
                let region = index.home(index.site(block).unwrap_or(0));
                black_box(lookup(&index, black_box(block), "status", region, NOW))
            });
        });
    }
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    lookups(&mut criterion);
    criterion.final_summary();
}
