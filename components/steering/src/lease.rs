//! Leases of look-up answers and the tokens that renew them; see docs/LOOKUP.md.

use crate::lookup::LEASE_MIN;
use clock::Millis;
use errors::{Error, Kind};
use settings::Preset;

/// How many hexadecimal digits a renewal token has.
pub const TOKEN_LEN: usize = CLAIM_LEN + MAC_LEN;

const CLAIM_LEN: usize = 48;
const MAC_LEN: usize = 2 * blake3::OUT_LEN;
const KEY_CONTEXT: &str = "heatherbend 2026-12-04 renewal token";

/// How long a caller may use the answer to a look-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// When the lease was granted.
    pub granted: Millis,
    /// How long it lasts.
    pub duration: Millis,
    /// How many times it has been renewed.
    pub renewals: u32,
    /// Whether it was cut short to end before a planned drain.
    pub shortened: bool,
}

/// The key that signs renewal tokens, derived from the key that all peers share.
///
/// Any VM can therefore renew what any other VM granted, and none keeps state for a caller.
#[derive(Clone)]
pub struct Key([u8; blake3::KEY_LEN]);

impl Key {
    /// Derives the key from the peers' key.
    pub fn derive(peer_key: &str) -> Key {
        Key(blake3::derive_key(KEY_CONTEXT, peer_key.as_bytes()))
    }
}

/// Grants a lease that ends before `drain`, the start of the first drain of an entry in the answer.
///
/// It starts at the preset's first lease and is multiplied by the preset's growth at each renewal
/// up to the preset's longest.
pub fn grant(preset: &Preset, renewals: u32, drain: Option<Millis>, now: Millis) -> Lease {
    let factor = u64::from(preset.lease_growth).saturating_pow(renewals);
    let grown = Millis(preset.lease_first.0.saturating_mul(factor));
    let wanted = grown.min(preset.lease_max).max(LEASE_MIN);
    let duration = drain.map_or(wanted, |start| wanted.min(start - now));
    Lease { granted: now, duration, renewals, shortened: duration < wanted }
}

/// The number of renewals of the lease that follows `previous`.
///
/// A caller that comes back before half its lease has passed gains nothing by it, and one that
/// comes back long after its end starts again, because its answer may be stale.
pub fn renewals_after(previous: &Lease, now: Millis) -> u32 {
    let age = now - previous.granted;
    if age > previous.duration + previous.duration {
        return 0;
    }
    if age + age < previous.duration {
        return previous.renewals;
    }
    previous.renewals.saturating_add(1)
}

/// Writes the renewal token of `lease` for `block`.
pub fn sign(key: &Key, block: u32, lease: &Lease) -> String {
    let claim = claim(block, lease);
    let mac = blake3::keyed_hash(&key.0, claim.as_bytes());
    claim + mac.to_hex().as_str()
}

/// Reads the renewal token that a caller of `block` hands back.
///
/// # Errors
///
/// [`Kind::ForgedToken`] if the token is garbled, wasn't issued under `key`, or is for another
/// block.
pub fn verify(key: &Key, block: u32, token: &str) -> Result<Lease, Error> {
    if token.len() != TOKEN_LEN || !token.is_ascii() {
        return Err(forged("its length"));
    }
    let (claim, mac) = token.split_at(CLAIM_LEN);
    let mac = blake3::Hash::from_hex(mac).map_err(|_| forged("its digits"))?;
    if blake3::keyed_hash(&key.0, claim.as_bytes()) != mac {
        return Err(forged("its signature"));
    }
    if digits(claim, 0, 8)? != u64::from(block) {
        return Err(forged("its block"));
    }
    Ok(Lease {
        renewals: digits(claim, 8, 16)? as u32,
        granted: Millis(digits(claim, 16, 32)?),
        duration: Millis(digits(claim, 32, 48)?),
        shortened: false,
    })
}

fn claim(block: u32, lease: &Lease) -> String {
    format!("{block:08x}{:08x}{:016x}{:016x}", lease.renewals, lease.granted.0, lease.duration.0)
}

fn digits(claim: &str, from: usize, to: usize) -> Result<u64, Error> {
    u64::from_str_radix(&claim[from..to], 16).map_err(|_| forged("its digits"))
}

fn forged(part: &str) -> Error {
    Error::new(Kind::ForgedToken, format!("renewal token: {part} is wrong"))
}
