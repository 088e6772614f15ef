use std::net::Ipv4Addr;

const PREFIX: &str = "24";
const HOST_BITS: u32 = 8;

/// Parses the notation `a.b.c.0/24`; `None` for any other text.
pub fn parse_block(text: &str) -> Option<u32> {
    let (address, prefix) = text.split_once('/')?;
    let address: Ipv4Addr = address.parse().ok()?;
    let [.., host] = address.octets();
    (prefix == PREFIX && host == 0).then(|| address.to_bits() >> HOST_BITS)
}

/// Formats a block's number as `a.b.c.0/24`.
pub fn format_block(block: u32) -> String {
    format!("{}/{PREFIX}", Ipv4Addr::from_bits(block << HOST_BITS))
}
