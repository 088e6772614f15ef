//! Leases grow, end before drains, and are renewed only with a token signed by a peer.

use clock::Millis;
use errors::Kind;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use steering::lease::{self, Key, Lease, TOKEN_LEN};
use steering::sample;

const NOW: Millis = Millis(1_000_000);
const BLOCK: u32 = 77;

fn proptest_config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::with_cases(256)
    }
}

fn preset() -> settings::Preset {
    sample::preset([0.4, 0.3, 0.3], 100)
}

#[test]
fn renewals_multiply_the_duration_up_to_the_maximum() {
    let seconds: Vec<u64> =
        (0..9).map(|count| lease::grant(&preset(), count, None, NOW).duration.0 / 1000).collect();
    assert_eq!(seconds, [5, 10, 20, 40, 80, 160, 300, 300, 300]);
}

#[test]
fn a_token_is_valid_only_for_its_block_and_key() {
    let key = Key::derive("secret");
    let granted = lease::grant(&preset(), 3, None, NOW);
    let token = lease::sign(&key, BLOCK, &granted);
    assert_eq!(token.len(), TOKEN_LEN);
    assert_eq!(lease::verify(&key, BLOCK, &token).unwrap(), granted);
    let other = Key::derive("other");
    assert_eq!(lease::verify(&other, BLOCK, &token).unwrap_err().kind, Kind::ForgedToken);
    assert_eq!(lease::verify(&key, BLOCK + 1, &token).unwrap_err().kind, Kind::ForgedToken);
}

#[test]
fn renewals_count_from_half_to_twice_the_lease() {
    let lease =
        Lease { granted: NOW, duration: Millis::from_secs(10), renewals: 4, shortened: false };
    let after = |secs| lease::renewals_after(&lease, NOW + Millis::from_secs(secs));
    assert_eq!([after(1), after(5), after(10), after(20), after(21)], [4, 5, 5, 5, 0]);
}

proptest! {
    #![proptest_config(proptest_config())]

    #[test]
    fn a_lease_never_lasts_into_a_drain(renewals in 0u32..99, ahead in 1u64..1_000_000) {
        let start = NOW + Millis(ahead);
        let lease = lease::grant(&preset(), renewals, Some(start), NOW);
        prop_assert!(lease.granted + lease.duration <= start);
    }

    #[test]
    fn a_changed_token_is_refused(at in 0..TOKEN_LEN, byte in 0u8..128) {
        let key = Key::derive("secret");
        let token = lease::sign(&key, BLOCK, &lease::grant(&preset(), 1, None, NOW));
        let mut bytes = token.clone().into_bytes();
        bytes[at] = byte;
        let changed = String::from_utf8(bytes).unwrap();
        prop_assume!(!changed.eq_ignore_ascii_case(&token));
        prop_assert_eq!(lease::verify(&key, BLOCK, &changed).unwrap_err().kind, Kind::ForgedToken);
    }

    #[test]
    fn any_text_is_refused(text in ".{0,200}") {
        let key = Key::derive("secret");
        prop_assert_eq!(lease::verify(&key, BLOCK, &text).unwrap_err().kind, Kind::ForgedToken);
    }
}
