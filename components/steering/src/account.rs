//! Client accounts: who sends a request, by the key that it carries.
//!
//! Keys are kept as digests only, so that neither logs nor peers ever see one, and a look-up by digest
//! takes the same time whichever key is presented. See docs/design/accounts.md.

use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::fmt;
use std::sync::Arc;

/// The digest of a key. Its `Debug` output hides it.
#[derive(Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Digest([u8; 16]);

impl Digest {
    /// The digest of `key`.
    pub fn of(key: &[u8]) -> Digest {
        let mut digest = [0; 16];
        digest.copy_from_slice(&blake3::hash(key).as_bytes()[..16]);
        Digest(digest)
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Digest(..)")
    }
}

/// A client account as operators declare it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Account {
    /// The name, which upstreams get.
    pub name: Arc<str>,
    /// Digests of the keys in force.
    pub keys: Vec<Digest>,
    /// Priority, 0 is the most urgent; it goes before the route's. `None` leaves it to the route.
    pub priority: Option<u32>,
    /// Requests a second over all VMs; 0 for no limit.
    pub rate: f64,
    /// Requests beyond the rate at any time, over all VMs.
    pub burst: f64,
    /// Regions that may serve it; empty allows all.
    pub regions: Vec<Arc<str>>,
}

/// The accounts of a configuration, by key.
#[derive(Debug, Default)]
pub struct Directory {
    by_key: HashMap<Digest, Arc<Account>>,
    len: usize,
}

impl Directory {
    /// Indexes the accounts. Of accounts that share a key, the first one has it.
    pub fn new(accounts: &[Arc<Account>]) -> Directory {
        let mut by_key = HashMap::new();
        for account in accounts {
            for key in &account.keys {
                by_key.entry(*key).or_insert_with(|| Arc::clone(account));
            }
        }
        Directory { by_key, len: accounts.len() }
    }

    /// Whether there are no accounts, so that no request needs a key.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The account that has `key`.
    pub fn find(&self, key: &[u8]) -> Option<&Arc<Account>> {
        self.by_key.get(&Digest::of(key))
    }
}
