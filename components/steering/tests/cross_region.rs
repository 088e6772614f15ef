//! The share of requests that cross to other regions moves at a bounded rate, up and down.

use clock::Millis;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use steering::cross_region::Limiter;

/// The deployment's bound on the part of a region's requests that moves between two windows.
const MAX_SHIFT: f64 = 0.15;
const WINDOW: u64 = 2_000;

/// Sends requests at even intervals; returns each request's time and whether it crossed.
fn play(wants: impl Iterator<Item = bool>, gap: u64) -> Vec<(u64, bool)> {
    let mut limiter = Limiter::new(MAX_SHIFT, Millis::ZERO);
    let timed = wants.enumerate().map(|(at, wanted)| (at as u64 * gap, wanted));
    timed
        .map(|(at, wanted)| {
            let crosses = limiter.decide(wanted, Millis(at));
            limiter.record_sent(crosses);
            (at, crosses)
        })
        .collect()
}

fn share(played: &[(u64, bool)], from: u64) -> f64 {
    let window = played.iter().filter(|(at, _)| (from..from + WINDOW).contains(at));
    let crossed: Vec<f64> = window.map(|(_, crossed)| f64::from(u8::from(*crossed))).collect();
    crossed.iter().sum::<f64>() / crossed.len().max(1) as f64
}

fn largest_move(played: &[(u64, bool)]) -> f64 {
    let end = played.last().map_or(0, |(at, _)| *at);
    let moves = (0..end.saturating_sub(2 * WINDOW)).step_by(100);
    moves.map(|at| (share(played, at + WINDOW) - share(played, at)).abs()).fold(0.0, f64::max)
}

#[test]
fn a_short_overflow_at_a_cold_start_moves_no_more_than_allowed() {
    // All requests overflow for 3 s and none afterwards, as when upstreams become warm.
    let played = play((0..1_000).map(|at| at < 150), 20);
    assert!(largest_move(&played) <= MAX_SHIFT, "{}", largest_move(&played));
    assert!(share(&played, 3_000) > 0.05, "the overflow crosses step by step");
    assert_eq!(share(&played, 17_000), 0.0);
}

#[test]
fn a_lasting_overflow_crosses_completely() {
    let played = play((0..3_000).map(|at| at % 2 == 0), 20);
    let final_share = share(&played, 40_000);
    assert!((final_share - 0.5).abs() < 0.05, "{final_share}");
}

/// Seen at the start of a large fleet: a region had room for a fifth of its callers' requests, and
/// those that might not cross were refused. The bound holds for the requests that run, not for
/// those that arrive.
#[test]
fn the_share_among_executed_requests_is_bounded_while_a_region_is_full() {
    let mut limiter = Limiter::new(MAX_SHIFT, Millis::ZERO);
    let mut sent = Vec::new();
    for request in 0..4_000 {
        let at = request * 5;
        let has_room = request % 5 == 0;
        let crosses = limiter.decide(!has_room, Millis(at));
        if has_room || crosses {
            limiter.record_sent(crosses);
            sent.push((at, crosses));
        }
    }
    assert!(largest_move(&sent) <= MAX_SHIFT, "{}", largest_move(&sent));
    assert!(share(&sent, 17_000) > 0.5, "the overflow crosses step by step");
}

#[test]
fn without_overflow_nothing_crosses() {
    assert!(play((0..500).map(|_| false), 20).iter().all(|(_, crossed)| !crossed));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::with_cases(256)
    })]

    #[test]
    fn whatever_overflows_the_share_moves_no_more_than_allowed(
        spells in proptest::collection::vec((0.0f64..1.0, 10usize..200), 5..20),
        gap in 5u64..30,
    ) {
        let wants = spells.into_iter().flat_map(|(part, count)| {
            (0..count).map(move |at| (at as f64 * part).fract() + part >= 1.0)
        });
        let played = play(wants, gap);
        prop_assert!(largest_move(&played) <= MAX_SHIFT, "{}", largest_move(&played));
    }
}
