//! The client accounts of a run and the keys that operators give out and withdraw.

use clock::Millis;
use platform_standin::Account;
use rand::seq::IteratorRandom;
use rand::{Rng, RngExt};
use std::collections::BTreeMap;

/// The account that at times sends far more than its cap allows, and at other times nothing.
pub const HOT: &str = "hot";
/// The accounts of usual callers, with their caps in requests a second, which are also their bursts.
/// They stay far under them.
const ORDINARY: [(&str, u32); 3] = [("large", 4_000), ("middle", 4_000), ("small", 20)];
/// One request in so many comes from the last of [`ORDINARY`].
const SMALL_SHARE: u32 = 400;
/// The cap of [`HOT`] in requests a second, and its burst.
const HOT_RATE: u32 = 40;
const KEYS_PER_ACCOUNT: usize = 2;
const UNKNOWN_KEY: &str = "never-given-out";

/// A key that was given out.
#[derive(Clone, Copy, Debug)]
pub struct Key {
    /// Name of its account.
    pub account: &'static str,
    /// When the store acknowledged the configuration that gave it out; `None` for the first one.
    pub given: Option<Millis>,
    /// When the store acknowledged the configuration that withdrew it.
    pub withdrawn: Option<Millis>,
}

/// What a caller sends to identify itself.
#[derive(Clone, Debug, Default)]
pub struct Credentials {
    /// Values of the key's header field, one field each.
    pub keys: Vec<String>,
    /// Value of the account's header field, which is not the caller's to set.
    pub claimed_account: Option<&'static str>,
}

/// All accounts and all keys that were ever given out.
#[derive(Debug, Default)]
pub struct Keyring {
    keys: BTreeMap<String, Key>,
    /// Whether the accounts have no usage caps.
    pub is_uncapped: bool,
}

impl Keyring {
    /// The accounts of the first configuration.
    pub fn new() -> Keyring {
        let mut keyring = Keyring::default();
        for account in names() {
            (0..KEYS_PER_ACCOUNT).for_each(|_| keyring.give(account, None));
        }
        keyring
    }

    /// The accounts with the keys in force, as the configuration lists them.
    pub fn accounts(&self) -> Vec<Account> {
        let account = |(name, rate): &(&'static str, u32)| Account {
            name: (*name).to_owned(),
            keys: self.in_force(name).cloned().collect(),
            rate: if self.is_uncapped { 0 } else { *rate },
            burst: if self.is_uncapped { 0 } else { *rate },
        };
        ORDINARY.iter().chain(&[(HOT, HOT_RATE)]).map(account).collect()
    }

    /// Withdraws the oldest key of an ordinary account and gives out a new one. The one with the
    /// small cap keeps its keys, since callers use withdrawn ones often.
    pub fn rotate(&mut self, index: usize, now: Millis) {
        let account = ORDINARY[index % (ORDINARY.len() - 1)].0;
        let oldest = self.in_force(account).next().cloned();
        if let Some(key) = oldest.and_then(|key| self.keys.get_mut(&key)) {
            key.withdrawn = Some(now);
        }
        self.give(account, Some(now));
    }

    /// The key `text`, if it was ever given out.
    pub fn find(&self, text: &str) -> Option<&Key> {
        self.keys.get(text)
    }

    /// The one key of `credentials`, if they hold one that was ever given out and no other.
    pub fn key(&self, credentials: &Credentials) -> Option<&Key> {
        let [key] = credentials.keys.as_slice() else {
            return None;
        };
        self.find(key)
    }

    /// What the account [`HOT`] sends.
    pub fn hot(&self) -> Credentials {
        Credentials { keys: self.in_force(HOT).take(1).cloned().collect(), claimed_account: None }
    }

    /// What a usual caller sends: mostly a key in force, and at times a withdrawn, an unknown, no
    /// or more than one key, or an account's name.
    pub fn draw<R>(&self, rng: &mut R) -> Credentials
    where
        R: Rng,
    {
        let [large, middle, small] = ORDINARY.map(|(name, _)| name);
        let account = match rng.random_ratio(1, SMALL_SHARE) {
            true => small,
            false => [large, middle][rng.random_range(0..2)],
        };
        let current = self.in_force(account).last().cloned();
        let withdrawn = self.keys.iter().filter(|(_, key)| key.withdrawn.is_some());
        let withdrawn = withdrawn.choose(rng);
        let keys = match rng.random_range(0..20) {
            0 => Vec::new(),
            1 => vec![UNKNOWN_KEY.to_owned()],
            2 => self.in_force(account).cloned().collect(),
            3..7 => withdrawn.map(|(key, _)| key.clone()).or(current).into_iter().collect(),
            _ => current.into_iter().collect(),
        };
        let claimed_account = rng.random_ratio(1, 10).then_some(HOT);
        Credentials { keys, claimed_account }
    }

    fn give(&mut self, account: &'static str, given: Option<Millis>) {
        let key = format!("key-{:04}", self.keys.len());
        self.keys.insert(key, Key { account, given, withdrawn: None });
    }

    /// The keys of `account` in force, oldest first.
    fn in_force<'a>(&'a self, account: &'a str) -> impl Iterator<Item = &'a String> {
        let is_in_force = move |key: &Key| key.account == account && key.withdrawn.is_none();
        self.keys.iter().filter(move |(_, key)| is_in_force(key)).map(|(text, _)| text)
    }
}

/// Most requests of `account` that may run in `seconds`, with what the settings tolerate.
pub fn cap(account: &str, seconds: u64) -> u64 {
    let known = ORDINARY.iter().find(|(name, _)| *name == account);
    let rate = u64::from(known.map_or(HOT_RATE, |(_, rate)| *rate));
    (rate * seconds + rate) * 11 / 10 + 20
}

fn names() -> impl Iterator<Item = &'static str> {
    ORDINARY.iter().map(|(name, _)| *name).chain([HOT])
}
