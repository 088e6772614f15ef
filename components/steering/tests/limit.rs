//! The limiters never exceed the cap under random arrivals, clock steps and changes of the cap.

use clock::Millis;
use proptest::prelude::*;
use steering::limit::{Pacer, Waiter, Window};

/// An amount admitted at a time.
#[derive(Clone, Copy, Debug)]
struct Sent {
    /// In milliseconds.
    at: u64,
    amount: u64,
}

/// A step of a schedule: time passes, the cap may change, then an amount is requested.
#[derive(Clone, Copy, Debug)]
struct Step {
    /// In milliseconds.
    gap: u64,
    /// The new cap.
    cap: Option<u64>,
    /// The requested amount.
    wanted: u64,
}

fn schedule<S>(cap: S, wanted: std::ops::Range<u64>) -> impl Strategy<Value = Vec<Step>>
where
    S: Strategy<Value = u64> + Clone + 'static,
{
    let gap = prop_oneof![4 => 0u64..5, 2 => 5u64..120, 1 => 900u64..1100];
    let change = proptest::option::weighted(0.05, cap);
    let step = (gap, change, wanted).prop_map(|(gap, cap, wanted)| Step { gap, cap, wanted });
    proptest::collection::vec(step, 1..400)
}

/// The amount sent in the window of 1,000 ms, both ends included, that ends with entry `end`.
fn window_sum(sent: &[Sent], end: usize) -> u64 {
    let last = sent[end].at;
    let inside = sent[..=end].iter().filter(|s| last - s.at <= 1000);
    inside.map(|s| s.amount).sum()
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: proptest::test_runner::RngSeed::Fixed(4),
        ..ProptestConfig::default()
    })]

    #[test]
    fn window_never_exceeds_the_cap_in_force(first in 0u64..40, steps in schedule(0u64..40, 1..2)) {
        let mut window = Window::new(first as u32);
        let mut now = Millis(50);
        let mut sent = Vec::new();
        for step in steps {
            now = now + Millis(step.gap);
            if let Some(cap) = step.cap {
                window.set_cap(cap as u32);
            }
            if window.admit(now).is_ok() {
                sent.push(Sent { at: now.0, amount: 1 });
                prop_assert!(window_sum(&sent, sent.len() - 1) <= u64::from(window.cap()));
            }
        }
    }

    #[test]
    fn window_admits_only_after_the_wait(cap in 1u64..20, steps in schedule(1u64..20, 1..2)) {
        let mut window = Window::new(cap as u32);
        let mut now = Millis(50);
        for step in steps {
            now = now + Millis(step.gap);
            if let Err(refused) = window.admit(now) {
                prop_assert!(refused.wait > Millis::ZERO);
                let early = now + refused.wait - Millis(1);
                prop_assert!(window.clone().check(early).is_err());
                now = now + refused.wait;
                prop_assert!(window.admit(now).is_ok());
            }
        }
    }

    #[test]
    fn pacer_never_exceeds_the_cap_in_force(
        first in 0u64..2000,
        steps in schedule(0u64..2000, 0..100_000),
    ) {
        let mut pacer = Pacer::new(first);
        let mut waiters: [Waiter; 3] = Default::default();
        let mut now = Millis(50);
        let mut sent = Vec::new();
        for (index, step) in steps.into_iter().enumerate() {
            now = now + Millis(step.gap);
            if let Some(cap) = step.cap {
                pacer.set_cap_kbit(cap);
            }
            if let Ok(bytes) = pacer.take(now, step.wanted, &mut waiters[index % 3]) {
                prop_assert!(bytes <= step.wanted);
                sent.push(Sent { at: now.0, amount: bytes });
                prop_assert!(window_sum(&sent, sent.len() - 1) <= pacer.cap_kbit() * 125);
            }
        }
    }
}

#[test]
fn window_of_cap_zero_admits_nothing() {
    let mut window = Window::new(0);
    for now in 0..3000 {
        assert!(window.admit(Millis(now)).is_err());
    }
}

#[test]
fn window_keeps_its_cap_when_the_clock_steps_back() {
    let mut window = Window::new(1);
    assert!(window.admit(Millis(5000)).is_ok());
    assert!(window.admit(Millis(10)).is_err());
    assert!(window.admit(Millis(6001)).is_ok());
}

#[test]
fn window_uses_its_full_cap() {
    let mut window = Window::new(500);
    let admitted = (0..10_010).filter(|&now| window.admit(Millis(now)).is_ok()).count();
    assert_eq!(admitted, 5000);
}

/// Ten streams that always have data to send share a link of 1 Mbit/s for ten seconds.
#[test]
fn pacer_uses_its_cap_and_divides_it_evenly() {
    let mut pacer = Pacer::new(1000);
    let mut waiters: [Waiter; 10] = Default::default();
    let mut next = [Millis::ZERO; 10];
    let mut bytes = [0u64; 10];
    for now in (0..10_000).map(Millis) {
        for stream in 0..10 {
            if next[stream] > now {
                continue;
            }
            match pacer.take(now, 16 * 1024, &mut waiters[stream]) {
                Ok(granted) => bytes[stream] += granted,
                Err(refused) => next[stream] = now + refused.wait,
            }
        }
    }
    let total: u64 = bytes.iter().sum();
    assert!((1_125_000..=1_250_000).contains(&total), "{total}");
    let least = *bytes.iter().min().unwrap_or(&0);
    let most = *bytes.iter().max().unwrap_or(&0);
    assert!(most <= least * 2, "{bytes:?}");
}

/// Slots reserved by cancelled streams block the link for at most a second.
#[test]
fn pacer_recovers_from_cancelled_waiters() {
    let mut pacer = Pacer::new(1000);
    for _ in 0..1000 {
        let _ = pacer.take(Millis(1), 4096, &mut Waiter::default());
    }
    assert!(pacer.take(Millis(1002), 4096, &mut Waiter::default()).is_ok());
}
