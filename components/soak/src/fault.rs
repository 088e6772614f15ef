//! Faults and planned operations with their times, generated from a seed.

use crate::operations::{RECOVERY_DOWNTIME, REWRITE_DELAY};
use clock::Millis;
use platform_standin::Mode;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Time before the first fault, so that traffic is flowing when it comes.
const LEAD_MS: u64 = 1_500;
/// Time at the end without new faults, so that recovery can be checked.
const RECOVERY_MS: u64 = 9_000;
/// Time without faults before the last part of a run, so that their effects are over.
const SETTLE_MS: u64 = 4_000;
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
    /// Changes the condition of the network between a VM and the store.
    Cut(usize, Condition, Millis),
    /// Withdraws a key of an account and gives out another, while VMs can't learn it.
    Withdraw(usize, Hiding, Millis),
    /// One account sends far more than its cap allows.
    Heat(Millis),
    /// The store comes back from a copy that is as old as the given time. An upstream leaves
    /// meanwhile.
    Recover(usize, Millis),
}

/// What keeps VMs from learning that a key was withdrawn.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Hiding {
    /// Nothing.
    None,
    /// The store turns all VMs away.
    Store,
    /// The process of one VM is paused.
    Pause,
}

/// Parts of a run that can be left out.
#[derive(Clone, Copy, Debug)]
pub struct Features {
    /// Keys are withdrawn.
    pub withdrawal: bool,
    /// Accounts have usage caps, and one exceeds its cap.
    pub caps: bool,
    /// The store comes back from an older copy.
    pub recovery: bool,
}

impl Features {
    /// Everything that a run can have.
    pub const ALL: Features = Features { withdrawal: true, caps: true, recovery: true };
    /// Everything but usage caps.
    pub const UNCAPPED: Features = Features { caps: false, ..Features::ALL };
}

impl Default for Features {
    /// All but what KNOWN-RED.txt names.
    fn default() -> Features {
        Features { recovery: false, ..Features::ALL }
    }
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
                | Fault::Withdraw(_, Hiding::None, _)
                | Fault::Heat(_)
                | Fault::Recover(..)
        )
    }

    fn is_enabled(self, features: Features) -> bool {
        match self {
            Fault::Withdraw(..) => features.withdrawal,
            Fault::Heat(_) => features.caps,
            Fault::Recover(..) => features.recovery,
            _ => true,
        }
    }

    /// How long the fault lasts; zero for one that takes effect once.
    pub fn span(self) -> Millis {
        match self {
            Fault::Kill(_, span)
            | Fault::Pause(_, span)
            | Fault::Network(_, _, span)
            | Fault::Store(_, span)
            | Fault::DropResponses(_, span)
            | Fault::Evacuate(_, span)
            | Fault::Cut(_, _, span)
            | Fault::Withdraw(_, _, span)
            | Fault::Heat(span) => span,
            Fault::Recover(_, span) => span + RECOVERY_DOWNTIME + REWRITE_DELAY,
            _ => Millis::ZERO,
        }
    }
}

/// The faults of a run of `seconds`, with their times since its start. Seeds that are multiples of
/// three give planned operations only. Without some of the features the others stay the same.
pub fn generate(seed: u64, seconds: u64, features: Features) -> Vec<(Millis, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let planned_only = seed.is_multiple_of(3);
    let end_ms = (seconds * 1_000).saturating_sub(RECOVERY_MS);
    let mut faults = Vec::new();
    let mut at_ms = LEAD_MS;
    while at_ms < end_ms {
        let fault = random_fault(&mut rng);
        let is_wanted = fault.is_planned() || !planned_only;
        let ends_in_time = at_ms + fault.span().0 + SETTLE_MS <= seconds * 1_000;
        if is_wanted && fault.is_enabled(features) && ends_in_time {
            faults.push((Millis(at_ms), fault));
        }
        at_ms += rng.random_range(MEAN_GAP_MS / 4..MEAN_GAP_MS * 7 / 4);
    }
    faults
}

fn random_fault(rng: &mut SmallRng) -> Fault {
    let index = rng.random_range(0..100);
    let span = Millis(rng.random_range(300..5_000));
    // Longer than a withdrawn key may be used.
    let long = Millis(5_000 + span.0 * 3 / 10);
    match rng.random_range(0..16) {
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
        10 => Fault::Cut(index, random_condition(rng), long),
        11 => Fault::Withdraw(index, Hiding::None, Millis::ZERO),
        12 if rng.random_bool(0.5) => Fault::Withdraw(index, Hiding::Store, long),
        12 => Fault::Withdraw(index, Hiding::Pause, long),
        13 => Fault::Recover(index, span),
        14 => Fault::Heat(span),
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
