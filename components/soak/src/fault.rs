//! Faults and planned operations with their times, generated from a seed.

use clock::Millis;
use platform_standin::Mode;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Time before the first fault, so that traffic is flowing when it comes.
const LEAD_MS: u64 = 1_500;
/// Time at the end without new faults, so that recovery can be checked.
const RECOVERY_MS: u64 = 9_000;
/// Mean time between faults; most last longer, so that they overlap.
const MEAN_GAP_MS: u64 = 900;

/// Condition of the network between the gateways and an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Condition {
    /// Normal operation.
    #[default]
    Normal,
    /// Delays each chunk of bytes.
    Delays(Millis),
    /// Resets all connections, also new ones.
    Resets,
    /// Drops what the upstream sends. A connection that lost bytes never recovers.
    DropsResponses,
    /// Drops bytes in both directions. A connection that lost bytes never recovers.
    DropsAll,
}

/// A fault or a planned operation. The numbers are indexes of VMs, upstreams or failure domains,
/// taken modulo their count.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// Shuts a VM's process down gracefully and starts it again.
    Stop(usize),
    /// Kills a VM's process and starts it again after the given time.
    Kill(usize, Millis),
    /// Pauses a VM's process.
    Pause(usize, Millis),
    /// Makes a VM's process reload its settings.
    Reload(usize),
    /// Changes the condition of the network to an upstream.
    Network(usize, Condition, Millis),
    /// Changes the behaviour of the store.
    Store(Mode, Millis),
    /// Drops the store's history of changes.
    DropHistory,
    /// Marks an upstream as leaving, removes it, and registers it again under a new id.
    Replace(usize),
    /// An upstream executes requests and closes the connections instead of responding.
    DropResponses(usize, Millis),
    /// Evacuates a failure domain.
    Evacuate(usize, Millis),
    /// Commits a configuration with one route added and one removed.
    Configure,
}

impl Fault {
    /// Whether this is a planned operation; those alone must not weaken any guarantee.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Fault::Stop(_)
                | Fault::Reload(_)
                | Fault::Replace(_)
                | Fault::Evacuate(..)
                | Fault::Configure
        )
    }

    /// How long the fault lasts; zero for one that takes effect once.
    pub fn span(self) -> Millis {
        match self {
            Fault::Kill(_, span)
            | Fault::Pause(_, span)
            | Fault::Network(_, _, span)
            | Fault::Store(_, span)
            | Fault::DropResponses(_, span)
            | Fault::Evacuate(_, span) => span,
            _ => Millis::ZERO,
        }
    }
}

/// The faults of a run of `seconds`, with their times since its start. Seeds that are multiples of
/// three give planned operations only.
pub fn generate(seed: u64, seconds: u64) -> Vec<(Millis, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let planned_only = seed.is_multiple_of(3);
    let end_ms = (seconds * 1_000).saturating_sub(RECOVERY_MS);
    let mut faults = Vec::new();
    let mut at_ms = LEAD_MS;
    while at_ms < end_ms {
        let fault = random_fault(&mut rng);
        if !planned_only || fault.is_planned() {
            faults.push((Millis(at_ms), fault));
        }
        at_ms += rng.random_range(MEAN_GAP_MS / 4..MEAN_GAP_MS * 7 / 4);
    }
    faults
}

fn random_fault(rng: &mut SmallRng) -> Fault {
    let index = rng.random_range(0..100);
    let span = Millis(rng.random_range(300..5_000));
    match rng.random_range(0..11) {
        0 => Fault::Stop(index),
        1 => Fault::Kill(index, span),
        2 => Fault::Pause(index, span),
        3 => Fault::Reload(index),
        4 | 5 => Fault::Network(index, random_condition(rng), span),
        6 => Fault::Store(random_mode(rng), span),
        7 if rng.random_bool(0.3) => Fault::DropHistory,
        7 => Fault::DropResponses(index, span),
        8 => Fault::Replace(index),
        9 => Fault::Evacuate(index, span),
        _ => Fault::Configure,
    }
}

fn random_condition(rng: &mut SmallRng) -> Condition {
    match rng.random_range(0..4) {
        0 => Condition::Delays(Millis(rng.random_range(20..400))),
        1 => Condition::Resets,
        2 => Condition::DropsResponses,
        _ => Condition::DropsAll,
    }
}

fn random_mode(rng: &mut SmallRng) -> Mode {
    match rng.random_range(0..4) {
        0 => Mode::Unavailable,
        1 => Mode::Silent,
        2 => Mode::Slow,
        _ => Mode::DropsResponses,
    }
}
