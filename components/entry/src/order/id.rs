use clock::Millis;
use errors::{Error, Kind};
use std::sync::Arc;

const MARK: &str = "h";
const SEPARATOR: char = '~';
const KEY_CONTEXT: &str = "heatherbend 2026-12-04 order prefix";
const MAC_HEX: usize = 32;
const HEX: u32 = 16;

/// What an order's id says of the one that may send it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Id {
    /// Only the incarnation that the prefix names may send it.
    Owned(Prefix),
    /// Whoever claims it in the table may send it.
    Unowned,
}

/// The home of an order's id and when the prefix was issued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// The home's VM.
    pub vm: Arc<str>,
    /// The home's incarnation.
    pub incarnation: u64,
    /// When it was issued, by the clock of the VM that issued it.
    pub issued: Millis,
}

/// Signs prefixes, so that no caller can make up an id that names a home.
pub(crate) struct Signer {
    key: [u8; blake3::KEY_LEN],
}

impl Signer {
    pub(crate) fn new(peer_key: &str) -> Signer {
        Signer { key: blake3::derive_key(KEY_CONTEXT, peer_key.as_bytes()) }
    }

    /// Writes `prefix` with its signature.
    pub(crate) fn seal(&self, prefix: &Prefix) -> String {
        let text = text(prefix);
        format!("{text}{SEPARATOR}{}", self.mac(&text))
    }

    /// Writes the id `name` under `prefix`.
    pub(crate) fn name(&self, prefix: &Prefix, name: u64) -> Arc<str> {
        format!("{}{SEPARATOR}{name:016x}", self.seal(prefix)).into()
    }

    /// Reads an order's id.
    ///
    /// # Errors
    ///
    /// [`Kind::ForgedToken`] for an id that names a home but wasn't signed with the key.
    pub(crate) fn open(&self, id: &str) -> Result<Id, Error> {
        let Some(rest) = id.strip_prefix(MARK).and_then(|rest| rest.strip_prefix(SEPARATOR)) else {
            return Ok(Id::Unowned);
        };
        let prefix = self.check(rest).ok_or_else(forged)?;
        Ok(Id::Owned(prefix))
    }

    fn check(&self, rest: &str) -> Option<Prefix> {
        let mut parts = rest.split(SEPARATOR);
        let prefix = Prefix {
            vm: parts.next()?.into(),
            incarnation: u64::from_str_radix(parts.next()?, HEX).ok()?,
            issued: Millis(u64::from_str_radix(parts.next()?, HEX).ok()?),
        };
        let mac = parts.next()?;
        let name = parts.next()?;
        let whole = !name.is_empty() && parts.next().is_none();
        (whole && self.is_signed(&prefix, mac)).then_some(prefix)
    }

    fn is_signed(&self, prefix: &Prefix, mac: &str) -> bool {
        // Hashes compare in constant time; strings don't.
        let digest = |text: &str| blake3::keyed_hash(&self.key, text.as_bytes());
        digest(&self.mac(&text(prefix))) == digest(mac)
    }

    fn mac(&self, text: &str) -> String {
        let mac = blake3::keyed_hash(&self.key, text.as_bytes());
        mac.to_hex()[..MAC_HEX].into()
    }
}

fn text(prefix: &Prefix) -> String {
    let Prefix { vm, incarnation, issued } = prefix;
    format!("{MARK}{SEPARATOR}{vm}{SEPARATOR}{incarnation:x}{SEPARATOR}{:x}", issued.0)
}

fn forged() -> Error {
    Error::new(Kind::ForgedToken, "the order's id names a home but isn't signed")
}
