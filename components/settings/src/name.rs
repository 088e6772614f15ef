//! The syntax of names.

const MAX_CHARS: usize = 63;

/// The allowed form of a name, as findings state it.
pub const ALLOWED: &str = "1 to 63 lower-case letters, digits and hyphens";

/// Whether `text` is a name: like a DNS label, so that names can be used in hosts and paths.
pub fn is_valid(text: &str) -> bool {
    let allowed = |c: char| c.is_ascii_lowercase() || c.is_ascii_digit() || c == '-';
    (1..=MAX_CHARS).contains(&text.len()) && text.chars().all(allowed)
}
