//! Callers' blocks: IPv4 /24 networks, written as CIDR networks of /24 or shorter.

use crate::Range;
use std::net::Ipv4Addr;

const BLOCK_PREFIX: u32 = 24;
const BLOCK_HOST_BITS: u32 = 8;

/// The allowed form of a network, as findings state it.
pub const ALLOWED: &str = "IPv4 networks of /24 or shorter, such as 10.0.0.0/20";

/// Parses one network.
///
/// # Errors
///
/// A description of the problem, for a finding.
pub fn parse(text: &str) -> Result<Range, String> {
    let malformed = || format!("`{text}` isn't a network");
    let (address, prefix) = text.split_once('/').ok_or_else(malformed)?;
    let address: Ipv4Addr = address.parse().map_err(|_| malformed())?;
    let prefix: u32 = prefix.parse().map_err(|_| malformed())?;
    if prefix > BLOCK_PREFIX {
        return Err(format!("`{text}` is longer than /{BLOCK_PREFIX}"));
    }
    let size = 1u32 << (BLOCK_PREFIX - prefix);
    let first = address.to_bits() >> BLOCK_HOST_BITS;
    if first << BLOCK_HOST_BITS != address.to_bits() || !first.is_multiple_of(size) {
        return Err(format!("`{text}` has bits set beyond its prefix"));
    }
    Ok(Range { first, last: first + size - 1 })
}

/// Formats a range as a comma-separated list of the fewest networks.
pub fn format(range: Range) -> String {
    let mut networks = Vec::new();
    let mut first = range.first;
    while first <= range.last {
        let length = range.last - first + 1;
        let max_bits = first.trailing_zeros().min(BLOCK_PREFIX);
        let bits = max_bits.min(length.ilog2());
        networks.push(format!("{}/{}", address(first), BLOCK_PREFIX - bits));
        first += 1 << bits;
    }
    networks.join(", ")
}

/// The network address of a block.
pub fn address(block: u32) -> Ipv4Addr {
    Ipv4Addr::from_bits(block << BLOCK_HOST_BITS)
}
