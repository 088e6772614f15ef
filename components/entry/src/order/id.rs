use clock::Millis;
use errors::{Error, Kind};
use std::sync::Arc;

/// The first part of an id that names its owner.
const OWNED_MARK: &str = "h";
const SEPARATOR: char = '~';
const KEY_CONTEXT: &str = "heatherbend 2026-12-04 order prefix";
const MAC_HEX_DIGITS: usize = 32;
const HEX_RADIX: u32 = 16;

/// Who may send an order, according to its id.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Id {
    /// Only the incarnation that the prefix names.
    Owned(Prefix),
    /// The incarnation that claims the order in the table.
    Unowned,
}

/// The prefix of an order id: the owner of the order and when the prefix was issued.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Prefix {
    /// The name of the owner's VM.
    pub vm: Arc<str>,
    /// The owner's incarnation.
    pub incarnation: u64,
    /// When the prefix was issued, by the clock of the VM that issued it.
    pub issued: Millis,
}

/// Signs prefixes, so that callers cannot forge an id that names an owner.
pub(crate) struct Signer {
    key: [u8; blake3::KEY_LEN],
}

impl Signer {
    pub(crate) fn new(peer_key: &str) -> Signer {
        Signer { key: blake3::derive_key(KEY_CONTEXT, peer_key.as_bytes()) }
    }

    /// Encodes `prefix` with its signature.
    pub(crate) fn sign(&self, prefix: &Prefix) -> String {
        let unsigned_text = unsigned_text(prefix);
        format!("{unsigned_text}{SEPARATOR}{}", self.mac(&unsigned_text))
    }

    /// Encodes the id of an order: the signed `prefix` and `name`.
    pub(crate) fn id(&self, prefix: &Prefix, name: u64) -> Arc<str> {
        format!("{}{SEPARATOR}{name:016x}", self.sign(prefix)).into()
    }

    /// Parses the id of an order and checks its signature.
    ///
    /// # Errors
    ///
    /// [`Kind::ForgedToken`] for an id that has a prefix without a valid signature.
    pub(crate) fn parse(&self, id: &str) -> Result<Id, Error> {
        let Some(rest) = id.strip_prefix(OWNED_MARK).and_then(|rest| rest.strip_prefix(SEPARATOR))
        else {
            return Ok(Id::Unowned);
        };
        let prefix = self.parse_owned(rest).ok_or_else(bad_signature)?;
        Ok(Id::Owned(prefix))
    }

    fn parse_owned(&self, rest: &str) -> Option<Prefix> {
        let mut parts = rest.split(SEPARATOR);
        let prefix = Prefix {
            vm: parts.next()?.into(),
            incarnation: u64::from_str_radix(parts.next()?, HEX_RADIX).ok()?,
            issued: Millis(u64::from_str_radix(parts.next()?, HEX_RADIX).ok()?),
        };
        let mac = parts.next()?;
        let name = parts.next()?;
        let complete = !name.is_empty() && parts.next().is_none();
        (complete && self.is_signed(&prefix, mac)).then_some(prefix)
    }

    fn is_signed(&self, prefix: &Prefix, mac: &str) -> bool {
        // `blake3::Hash` compares in constant time, unlike `str`.
        let digest = |text: &str| blake3::keyed_hash(&self.key, text.as_bytes());
        digest(&self.mac(&unsigned_text(prefix))) == digest(mac)
    }

    fn mac(&self, text: &str) -> String {
        let mac = blake3::keyed_hash(&self.key, text.as_bytes());
        mac.to_hex()[..MAC_HEX_DIGITS].into()
    }
}

fn unsigned_text(prefix: &Prefix) -> String {
    let Prefix { vm, incarnation, issued } = prefix;
    format!("{OWNED_MARK}{SEPARATOR}{vm}{SEPARATOR}{incarnation:x}{SEPARATOR}{:x}", issued.0)
}

fn bad_signature() -> Error {
    Error::new(Kind::ForgedToken, "the order id has a prefix without a valid signature")
}
