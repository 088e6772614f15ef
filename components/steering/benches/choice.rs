//! Benchmarks the choice of an upstream, subsetting, and the rate limiters.

use clock::Millis;
use criterion::Criterion;
use rand::SeedableRng;
use rand::rngs::StdRng;
use settings::Class;
use std::hint::black_box;
use std::sync::Arc;
use steering::choice::{
    Choice, LeastReported, Outcome, Pool, Random, Ranked, Subset, Task, TwoChoices,
};
use steering::limit::{Pacer, Waiter, Window};
use steering::sample;

const SERVICE: &str = "status";

fn choices(criterion: &mut Criterion) {
    let policies: [Box<dyn Choice>; 4] =
        [Box::new(Random), Box::new(LeastReported), Box::new(TwoChoices), Box::new(Ranked)];
    for mut policy in policies {
        let mut snapshot = sample::snapshot(sample::Size::TODAY);
        sample::add_service(&mut snapshot, SERVICE, 12, 3);
        let mut pool = Pool::new();
        pool.update(&Subset::new(&snapshot, SERVICE, &snapshot.vms[0].name), Millis(1));
        let mut rng = StdRng::seed_from_u64(1);
        let task = Task { class: Class::Short, idempotent: true, tried: Vec::new() };
        let mut now = Millis(1_000_000);
        criterion.bench_function(&format!("choose {}", policy.name()), |bencher| {
            bencher.iter(|| {
                now = now + Millis(1);
                let pick = policy.choose(&mut pool, &task, now, &mut rng).expect("all are live");
                let ticket = pool.start(pick.index, Class::Short, false, now);
                pool.finish(ticket, Outcome::Answered, now + Millis(20));
            });
        });
    }
}

fn subsets(criterion: &mut Criterion) {
    for size in [sample::Size::TODAY, sample::Size::DESIGN] {
        let mut snapshot = sample::snapshot(size);
        sample::add_service(&mut snapshot, SERVICE, 12, 3);
        let vm = Arc::clone(&snapshot.vms[size.vms - 1].name);
        criterion.bench_function(&format!("subset for {} VMs", size.vms), |bencher| {
            bencher.iter(|| Subset::new(black_box(&snapshot), SERVICE, &vm));
        });
    }
}

fn limits(criterion: &mut Criterion) {
    let mut window = Window::new(10_000);
    let mut now = Millis(1);
    criterion.bench_function("admit by window", |bencher| {
        bencher.iter(|| {
            now = now + Millis(1);
            black_box(window.admit(now).is_ok())
        });
    });
    let mut pacer = Pacer::new(280_000);
    let mut waiter = Waiter::default();
    criterion.bench_function("take from pacer", |bencher| {
        bencher.iter(|| {
            now = now + Millis(1);
            black_box(pacer.take(now, 16 * 1024, &mut waiter).is_ok())
        });
    });
}

fn main() {
    let mut criterion = Criterion::default().configure_from_args();
    choices(&mut criterion);
    subsets(&mut criterion);
    limits(&mut criterion);
    criterion.final_summary();
}
