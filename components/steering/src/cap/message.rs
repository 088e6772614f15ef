use clock::Millis;
use serde::{Deserialize, Serialize};
use std::sync::Arc;

/// A holder's message to the coordinator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The sender.
    pub vm: Arc<str>,
    /// Increases at each start of the sender, and whenever its shares lapsed.
    pub incarnation: u64,
    /// The epoch that the sender takes replies of; it ignores those of earlier ones from now on.
    pub epoch: u64,
    /// Increases with each report of an incarnation.
    pub id: u64,
    /// When the latest reply of the epoch that the sender got was made, by the coordinator's clock.
    pub echo: Millis,
    /// All shares that the sender holds, by account, until a coordinator has acknowledged them.
    pub held: Option<Vec<(u64, u32)>>,
    /// The offers that the sender has applied, by account.
    pub applied: Vec<(u64, u32)>,
    /// Accounts whose demand changed or that need tokens.
    pub demands: Vec<Demand>,
}

/// What a VM's callers ask for.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Demand {
    /// The account.
    pub key: u64,
    /// Requests a second, admitted or not.
    pub rate: f32,
    /// Requests that wait for a token.
    pub waiting: u32,
}

/// The coordinator's answer to a [`Report`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Reply {
    /// The coordinator's epoch.
    pub epoch: u64,
    /// The receiver's incarnation that it is for; a newer one if the coordinator knows that.
    pub incarnation: u64,
    /// The report's id.
    pub id: u64,
    /// When it was made, by the coordinator's clock.
    pub made: Millis,
    /// How long the receiver may use its shares after it made the report.
    pub valid: Millis,
    /// Whether the coordinator doesn't know the receiver's shares, which must be dropped.
    pub reset: bool,
    /// Shares that replace the receiver's.
    pub offers: Vec<Offer>,
    /// Tokens for waiting requests. An account without an entry keeps its requests waiting, as the
    /// reserve is closed.
    pub tokens: Vec<Tokens>,
    /// How long the reserve certainly stays closed, whoever is heard.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub closed_for: Millis,
}

fn is_zero(span: &Millis) -> bool {
    *span == Millis::ZERO
}

/// A share that is offered to a VM.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Offer {
    /// The account.
    pub key: u64,
    /// Increases with each offer of the epoch.
    pub sequence: u32,
    /// The share, in millionths.
    pub share: u32,
    /// Tokens of the reserve that come with what the share gains.
    pub tokens: u32,
}

/// Tokens for requests that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Tokens {
    /// The account.
    pub key: u64,
    /// Requests that may be admitted.
    pub count: u32,
    /// Time until there are tokens for the others, which are refused; zero if they wait on.
    pub pause: Millis,
}
