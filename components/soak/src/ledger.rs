//! Checks what callers and upstreams see of client accounts: keys, withdrawn keys, usage caps.

use crate::accounts::{Credentials, HOT, Key, Keyring, cap};
use clock::Millis;
use std::collections::{HashMap, VecDeque};

/// Time after its withdrawal in which a key may still let requests run on any VM.
const WITHDRAWAL_BOUND: Millis = Millis(5_000);
/// The same on VMs that nothing disturbs, where the configuration must be in force by then.
const CONFIGURATION_BOUND: Millis = Millis(3_500);
const CAP_WINDOW: Millis = Millis(5_000);

/// The header fields about accounts that an upstream got with a request.
#[derive(Clone, Debug, Default)]
pub struct Received {
    /// Values of the account's field.
    pub accounts: Vec<String>,
    /// Whether there was a field with a key.
    pub has_key: bool,
}

/// A request as its caller sent it.
#[derive(Clone, Debug)]
struct Sent {
    credentials: Credentials,
    needs_key: bool,
    at: Millis,
    was_executed: bool,
}

/// All requests of a run that were sent to routes that know accounts.
///
/// The checks return what was violated. `is_settled` tells whether no fault had an effect at a time
/// or later.
#[derive(Debug, Default)]
pub struct Ledger {
    /// The accounts and their keys.
    pub keyring: Keyring,
    sent: HashMap<String, Sent>,
    /// When the requests that ran recently were sent, by account.
    recent: HashMap<&'static str, VecDeque<Millis>>,
    /// The accounts that are over their caps, so that each excess is reported once.
    exceeded: HashMap<&'static str, bool>,
}

impl Ledger {
    /// A ledger for the accounts of `keyring`.
    pub fn new(keyring: Keyring) -> Ledger {
        Ledger { keyring, ..Ledger::default() }
    }

    /// Records that a caller is about to send a request.
    pub fn record_request(
        &mut self,
        id: &str,
        credentials: Credentials,
        needs_key: bool,
        at: Millis,
    ) {
        let sent = Sent { credentials, needs_key, at, was_executed: false };
        self.sent.insert(id.to_owned(), sent);
    }

    /// Whether a request was sent with a key in force, or without any where none is needed. A key that
    /// is sent must be in force on all routes.
    pub fn is_authorized(&self, id: &str) -> bool {
        let Some(sent) = self.sent.get(id) else {
            return false;
        };
        match self.keyring.key(&sent.credentials) {
            Some(key) => key.withdrawn.is_none(),
            None => !sent.needs_key && sent.credentials.keys.is_empty(),
        }
    }

    /// Checks a request that an upstream begins to execute at `now`.
    pub fn check_execution<Settled>(
        &mut self,
        id: &str,
        received: &Received,
        now: Millis,
        is_settled: Settled,
    ) -> Vec<String>
    where
        Settled: Fn(Millis) -> bool,
    {
        let Some(sent) = self.sent.get_mut(id) else {
            return Vec::new();
        };
        let key = self.keyring.key(&sent.credentials).copied();
        let mut violations = Vec::new();
        if received.has_key {
            violations.push(format!("request {id} reached an upstream with its key"));
        }
        violations.extend(check_key(id, sent, key, is_settled));
        let expected: Vec<&str> = key.iter().map(|key| key.account).collect();
        let is_anonymous = !sent.needs_key && received.accounts.is_empty();
        if received.accounts != expected && !is_anonymous {
            let seen = &received.accounts;
            violations.push(format!("request {id} of {expected:?} ran as one of {seen:?}"));
        }
        if let Some(key) = key
            && !std::mem::replace(&mut sent.was_executed, true)
        {
            let at = sent.at;
            violations.extend(self.check_cap(key.account, at, now));
        }
        violations
    }

    /// Checks the status of a response that came at `now`.
    pub fn check_response<Settled>(
        &self,
        id: &str,
        status: u16,
        is_capped: bool,
        is_settled: Settled,
    ) -> Option<String>
    where
        Settled: Fn(Millis) -> bool,
    {
        let sent = self.sent.get(id)?;
        let key = self.keyring.key(&sent.credentials)?;
        let is_known = match key.given {
            None => true,
            Some(given) => {
                let applied = given + CONFIGURATION_BOUND;
                applied <= sent.at && is_settled(Millis(sent.at.0 - CONFIGURATION_BOUND.0))
            }
        };
        match status {
            401 if key.withdrawn.is_none() && is_known => {
                Some(format!("request {id} got status 401 with a key in force"))
            }
            _ if is_capped && key.account != HOT && is_settled(sent.at) => Some(format!(
                "request {id} of {} got status {status} far under its cap",
                key.account
            )),
            _ => None,
        }
    }

    /// Counts a request that was sent at `sent` and runs from `now`.
    fn check_cap(&mut self, account: &'static str, sent: Millis, now: Millis) -> Option<String> {
        let recent = self.recent.entry(account).or_default();
        recent.push_back(sent);
        recent.retain(|sent| now <= *sent + CAP_WINDOW);
        let (count, limit) = (recent.len() as u64, cap(account, CAP_WINDOW.0 / 1_000));
        let is_exceeded = count > limit;
        let was_exceeded = self.exceeded.insert(account, is_exceeded).unwrap_or_default();
        (is_exceeded && !was_exceeded)
            .then(|| format!("{count} requests of {account} ran in a window, {limit} are allowed"))
    }
}

fn check_key<Settled>(
    id: &str,
    sent: &Sent,
    key: Option<Key>,
    is_settled: Settled,
) -> Option<String>
where
    Settled: Fn(Millis) -> bool,
{
    let Some(key) = key else {
        let keys = &sent.credentials.keys;
        let is_refused = sent.needs_key || !keys.is_empty();
        return is_refused.then(|| format!("request {id} ran with the keys {keys:?}"));
    };
    let withdrawn = key.withdrawn.filter(|withdrawn| {
        let is_late = |bound| sent.at > *withdrawn + bound;
        is_late(WITHDRAWAL_BOUND) || is_late(CONFIGURATION_BOUND) && is_settled(*withdrawn)
    })?;
    let late_ms = (sent.at - withdrawn).0;
    sent.needs_key
        .then(|| format!("request {id} ran, sent {late_ms} ms after its key was withdrawn"))
}
