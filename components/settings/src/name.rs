//! The shape of names.

const MAX_LENGTH: usize = 63;

/// What a name may look like, for findings.
pub const ALLOWED: &str = "1 to 63 lower-case letters, digits and hyphens";

/// Whether `text` can be a name: the shape of a DNS label, so that names fit in hosts and paths.
pub fn is_valid(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    (1..=MAX_LENGTH).contains(&text.len()) && text.chars().all(allowed)
}
