//! Parses and writes numbers with units.

use clock::Millis;

/// The unit that a value must have.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unit {
    /// `ms`, `s`, `min` or `h`; parsed values are in milliseconds.
    Time,
    /// `Mbit/s`.
    Bandwidth,
    /// `requests/s`.
    Rate,
    /// `lines/s`.
    Lines,
    /// A plain count.
    Count,
}

impl Unit {
    /// The unit as it is written; empty for a count.
    pub const fn as_str(self) -> &'static str {
        match self {
            Unit::Time => "ms",
            Unit::Bandwidth => "Mbit/s",
            Unit::Rate => "requests/s",
            Unit::Lines => "lines/s",
            Unit::Count => "",
        }
    }

    /// The factor that converts from the unit as written; `None` if that is another unit.
    fn factor(self, written: &str) -> Option<u64> {
        match (self, written) {
            (Unit::Time, "ms") => Some(1),
            (Unit::Time, "s") => Some(1_000),
            (Unit::Time, "min") => Some(60_000),
            (Unit::Time, "h") => Some(3_600_000),
            (Unit::Time, _) => None,
            _ => (written == self.as_str()).then_some(1),
        }
    }

    /// Formats `number` with its unit.
    pub fn write(self, number: u64) -> String {
        match self {
            Unit::Count => number.to_string(),
            _ => format!("{number} {}", self.as_str()),
        }
    }
}

/// Parses a whole number with its unit.
///
/// # Errors
///
/// A description of the problem, for a finding.
pub fn parse_number(text: &str, unit: Unit) -> Result<u64, String> {
    if text.starts_with('-') {
        return Err(format!("`{text}` is negative"));
    }
    let end = text.find(|c: char| !c.is_ascii_digit()).unwrap_or(text.len());
    let (digits, written) = text.split_at(end);
    if digits.is_empty() {
        return Err(format!("`{text}` isn't a number"));
    }
    let written = written.trim();
    if written.is_empty() && unit != Unit::Count {
        return Err(format!("`{text}` has no unit"));
    }
    if written.starts_with('.') {
        return Err(format!("`{text}` isn't a whole number"));
    }
    let factor = unit.factor(written).ok_or_else(|| format!("`{written}` isn't the unit here"))?;
    let value = digits.parse::<u64>().ok().and_then(|value| value.checked_mul(factor));
    value.ok_or_else(|| format!("`{text}` is too large a number"))
}

/// Parses a fraction from 0 to 1.
///
/// # Errors
///
/// A description of the problem, for a finding.
pub fn parse_fraction(text: &str) -> Result<f64, String> {
    let parsed = text.parse().ok().filter(|value: &f64| !value.is_nan());
    let value = parsed.ok_or_else(|| format!("`{text}` isn't a number"))?;
    if value < 0.0 {
        return Err(format!("`{text}` is negative"));
    }
    if !(0.0..=1.0).contains(&value) {
        return Err(format!("`{text}` is above one"));
    }
    Ok(value)
}

/// Formats `span` in seconds if it is a whole number of them, else in milliseconds.
pub fn format_span(span: Millis) -> String {
    match span.0 {
        ms if ms > 0 && ms % 1_000 == 0 => format!("{} s", ms / 1_000),
        ms => format!("{ms} ms"),
    }
}
