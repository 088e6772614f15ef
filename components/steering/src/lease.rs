//! Leases of look-up results and the signed tokens that renew them. See docs/LOOKUP.md.

use crate::lookup::LEASE_MIN;
use clock::Millis;
use errors::{Error, Kind};
use settings::Preset;

/// The length of a renewal token in hexadecimal digits.
pub const TOKEN_LEN: usize = CLAIM_LEN + MAC_LEN;

/// 8 digits of block, 8 of renewals, 16 of grant time and 16 of duration.
const CLAIM_LEN: usize = 48;
const MAC_LEN: usize = 2 * blake3::OUT_LEN;
const KEY_CONTEXT: &str = "heatherbend 2026-12-04 renewal token";

/// The time for which a caller may use the result of a look-up.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Lease {
    /// When the lease was granted.
    pub granted: Millis,
    /// How long it lasts.
    pub duration: Millis,
    /// How many times it has been renewed.
    pub renewals: u32,
    /// Whether it was shortened to end before a planned drain.
    pub shortened: bool,
}

/// The key that signs renewal tokens, derived from the key that all peers share.
///
/// Every VM can therefore renew leases that any other VM granted, and no VM keeps state of callers.
#[derive(Clone)]
pub struct Key([u8; blake3::KEY_LEN]);

impl Key {
    /// Derives the key from the key that all peers share.
    pub fn derive(peer_key: &str) -> Key {
        Key(blake3::derive_key(KEY_CONTEXT, peer_key.as_bytes()))
    }
}

/// Grants a lease that ends by `drain_start`, the start of the first planned drain of an entry VM
/// in the result.
///
/// The first lease lasts the preset's `lease_first`; each renewal multiplies the duration by
/// `lease_growth`, up to `lease_max`.
pub fn grant(preset: &Preset, renewals: u32, drain_start: Option<Millis>, now: Millis) -> Lease {
    let factor = u64::from(preset.lease_growth).saturating_pow(renewals);
    let grown = Millis(preset.lease_first.0.saturating_mul(factor));
    let wanted = grown.min(preset.lease_max).max(LEASE_MIN);
    let duration = drain_start.map_or(wanted, |start| wanted.min(start - now));
    Lease { granted: now, duration, renewals, shortened: duration < wanted }
}

/// The number of renewals of the lease that follows `previous`.
///
/// A renewal before half of the lease has passed doesn't count, so that callers can't speed up the
/// growth. After twice the lease the count restarts at zero, because the caller's result may be
/// stale.
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

/// Returns the signed renewal token of `lease` for `block`.
pub fn sign(key: &Key, block: u32, lease: &Lease) -> String {
    let claim = claim(block, lease);
    let mac = blake3::keyed_hash(&key.0, claim.as_bytes());
    claim + mac.to_hex().as_str()
}

/// Verifies the renewal token that a caller of `block` sends and returns its lease.
///
/// # Errors
///
/// [`Kind::ForgedToken`] if the token is malformed, wasn't signed with `key`, or is for another
/// block.
pub fn verify(key: &Key, block: u32, token: &str) -> Result<Lease, Error> {
    if token.len() != TOKEN_LEN || !token.is_ascii() {
        return Err(forged("wrong length"));
    }
    let (claim, mac) = token.split_at(CLAIM_LEN);
    let mac = blake3::Hash::from_hex(mac).map_err(|_| forged("not hexadecimal"))?;
    if blake3::keyed_hash(&key.0, claim.as_bytes()) != mac {
        return Err(forged("wrong signature"));
    }
    if digits(claim, 0, 8)? != u64::from(block) {
        return Err(forged("issued for another block"));
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
    u64::from_str_radix(&claim[from..to], 16).map_err(|_| forged("not hexadecimal"))
}

fn forged(reason: &str) -> Error {
    Error::new(Kind::ForgedToken, format!("invalid renewal token: {reason}"))
}
