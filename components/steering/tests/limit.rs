//! The limiters' bounds over random arrivals, clock steps and changes of the cap.

use clock::Millis;
use proptest::prelude::*;
use steering::limit::{Pacer, Waiter, Window};

/// What was let through at one time, and the cap in force then.
#[derive(Clone, Copy, Debug)]
struct Sent {
    at: u64,
    amount: u64,
}

/// A step of a schedule: time passes, perhaps the cap changes, then a caller asks.
#[derive(Clone, Copy, Debug)]
struct Step {
    gap: u64,
    cap: Option<u64>,
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

/// The amount sent in the closed window of 1,000 ms that ends with entry `end`.
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
    fn window_admits_at_the_time_it_named(cap in 1u64..20, steps in schedule(1u64..20, 1..2)) {
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
    fn flow_never_exceeds_the_cap_in_force(
        first in 0u64..2000,
        steps in schedule(0u64..2000, 0..100_000),
    ) {
        let mut flow = Pacer::new(first);
        let mut turns: [Waiter; 3] = Default::default();
        let mut now = Millis(50);
        let mut sent = Vec::new();
        for (index, step) in steps.into_iter().enumerate() {
            now = now + Millis(step.gap);
            if let Some(cap) = step.cap {
                flow.set_cap_kbit(cap);
            }
            if let Ok(bytes) = flow.take(now, step.wanted, &mut turns[index % 3]) {
                prop_assert!(bytes <= step.wanted);
                sent.push(Sent { at: now.0, amount: bytes });
                prop_assert!(window_sum(&sent, sent.len() - 1) <= flow.cap_kbit() * 125);
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
fn window_survives_a_clock_that_steps_back() {
    let mut window = Window::new(1);
    assert!(window.admit(Millis(5000)).is_ok());
    assert!(window.admit(Millis(10)).is_err());
    assert!(window.admit(Millis(6001)).is_ok());
}

#[test]
fn window_uses_its_whole_cap() {
    let mut window = Window::new(500);
    let admitted = (0..10_010).filter(|&now| window.admit(Millis(now)).is_ok()).count();
    assert_eq!(admitted, 5000);
}

/// Ten streams that always want more share a link of 1 Mbit/s for ten seconds.
#[test]
fn flow_uses_its_cap_and_shares_it_evenly() {
    let mut flow = Pacer::new(1000);
    let mut turns: [Waiter; 10] = Default::default();
    let mut next = [Millis::ZERO; 10];
    let mut bytes = [0u64; 10];
    for now in (0..10_000).map(Millis) {
        for stream in 0..10 {
            if next[stream] > now {
                continue;
            }
            match flow.take(now, 16 * 1024, &mut turns[stream]) {
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

/// Waiters that give up leave the link to the others within a second.
#[test]
fn flow_recovers_from_cancelled_waiters() {
    let mut flow = Pacer::new(1000);
    for _ in 0..1000 {
        let _ = flow.take(Millis(1), 4096, &mut Waiter::default());
    }
    assert!(flow.take(Millis(1002), 4096, &mut Waiter::default()).is_ok());
}
