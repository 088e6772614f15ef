//! What is done to a fleet, and when, drawn from a seed.

use clock::Millis;
use platform_standin::Mode;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// The time before the first fault, in which traffic begins.
const LEAD: u64 = 1_500;
/// The time at the end without new faults, so that recovery can be checked.
const CALM: u64 = 9_000;
/// The mean time between faults; shorter than most last, so that they overlap.
const GAP: u64 = 900;

/// What happens on a connection between a gateway and an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Line {
    /// Bytes pass.
    #[default]
    Passes,
    /// Bytes pass late.
    Delays(Millis),
    /// Connections are reset, also new ones.
    Resets,
    /// What the upstream sends is lost; such a connection stays dead.
    CutBack,
    /// All bytes are lost; such a connection stays dead.
    Silent,
}

/// A fault or a planned change; numbers pick a VM or an upstream, modulo how many there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// A VM is told to stop and started again.
    Stop(usize),
    /// A VM's process is killed and started again after a while.
    Kill(usize, Millis),
    /// A VM's process is frozen for a while.
    Pause(usize, Millis),
    /// A VM is told to read its settings again.
    Reload(usize),
    /// The connections to an upstream misbehave for a while.
    Line(usize, Line, Millis),
    /// The store misbehaves for a while.
    Store(Mode, Millis),
    /// The store forgets its history.
    Forget,
    /// An upstream says that it leaves, goes, and comes back under a new id.
    Leave(usize),
    /// An upstream runs requests and loses the answers for a while.
    LoseAnswers(usize, Millis),
    /// A failure domain is evacuated for a while.
    Evacuate(usize, Millis),
    /// A new configuration, with one route added and one removed.
    Configure,
}

impl Fault {
    /// Whether operators planned it; all promises hold around planned work alone.
    pub fn is_planned(self) -> bool {
        matches!(
            self,
            Fault::Stop(_)
                | Fault::Reload(_)
                | Fault::Leave(_)
                | Fault::Evacuate(..)
                | Fault::Configure
        )
    }

    /// How long it lasts.
    pub fn span(self) -> Millis {
        match self {
            Fault::Kill(_, span)
            | Fault::Pause(_, span)
            | Fault::Line(_, _, span)
            | Fault::Store(_, span)
            | Fault::LoseAnswers(_, span)
            | Fault::Evacuate(_, span) => span,
            _ => Millis::ZERO,
        }
    }
}

/// The faults of a run of `seconds` with their times. Every third run has planned work only.
pub fn draw(seed: u64, seconds: u64) -> Vec<(Millis, Fault)> {
    let mut rng = SmallRng::seed_from_u64(seed);
    let planned_only = seed.is_multiple_of(3);
    let end = (seconds * 1_000).saturating_sub(CALM);
    let mut faults = Vec::new();
    let mut at = LEAD;
    while at < end {
        let fault = one(&mut rng);
        if !planned_only || fault.is_planned() {
            faults.push((Millis(at), fault));
        }
        at += rng.random_range(GAP / 4..GAP * 7 / 4);
    }
    faults
}

fn one(rng: &mut SmallRng) -> Fault {
    let which = rng.random_range(0..100);
    let span = Millis(rng.random_range(300..5_000));
    match rng.random_range(0..11) {
        0 => Fault::Stop(which),
        1 => Fault::Kill(which, span),
        2 => Fault::Pause(which, span),
        3 => Fault::Reload(which),
        4 | 5 => Fault::Line(which, line(rng), span),
        6 => Fault::Store(mode(rng), span),
        7 if rng.random_bool(0.3) => Fault::Forget,
        7 => Fault::LoseAnswers(which, span),
        8 => Fault::Leave(which),
        9 => Fault::Evacuate(which, span),
        _ => Fault::Configure,
    }
}

fn line(rng: &mut SmallRng) -> Line {
    match rng.random_range(0..4) {
        0 => Line::Delays(Millis(rng.random_range(20..400))),
        1 => Line::Resets,
        2 => Line::CutBack,
        _ => Line::Silent,
    }
}

fn mode(rng: &mut SmallRng) -> Mode {
    match rng.random_range(0..4) {
        0 => Mode::Unavailable,
        1 => Mode::Silent,
        2 => Mode::Slow,
        _ => Mode::DropsResponses,
    }
}
