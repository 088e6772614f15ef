//! Points in time in the form `2026-12-24T22:00:00Z`, always in UTC.

use clock::Millis;

const DAY_SECS: u64 = 86_400;
const FIRST_YEAR: u64 = 1970;
const LAST_YEAR: u64 = 9999;
const PATTERN: &[u8; 20] = b"dddd-dd-ddTdd:dd:ddZ";

/// Parses a point in time, or `None` when `text` isn't one.
pub fn parse(text: &str) -> Option<Millis> {
    let bytes: &[u8; 20] = text.as_bytes().try_into().ok()?;
    let matches = bytes.iter().zip(PATTERN).all(|(byte, expected)| match expected {
        b'd' => byte.is_ascii_digit(),
        other => byte == other,
    });
    if !matches {
        return None;
    }
    let field = |from: usize, to: usize| text[from..to].parse::<u64>().ok();
    let (year, month, day) = (field(0, 4)?, field(5, 7)?, field(8, 10)?);
    let (hour, minute, second) = (field(11, 13)?, field(14, 16)?, field(17, 19)?);
    let in_range = (FIRST_YEAR..=LAST_YEAR).contains(&year) && (1..=12).contains(&month);
    if !in_range || day == 0 || day > days_in(year, month) {
        return None;
    }
    if hour > 23 || minute > 59 || second > 59 {
        return None;
    }
    let years: u64 = (FIRST_YEAR..year).map(days_in_year).sum();
    let months: u64 = (1..month).map(|month| days_in(year, month)).sum();
    let days = years + months + day - 1;
    Some(Millis::from_secs(days * DAY_SECS + hour * 3600 + minute * 60 + second))
}

/// Formats a point in time, truncated to the second.
pub fn format(when: Millis) -> String {
    let secs = when.0 / 1000;
    let mut days = secs / DAY_SECS;
    let mut year = FIRST_YEAR;
    while year <= LAST_YEAR && days >= days_in_year(year) {
        days -= days_in_year(year);
        year += 1;
    }
    let mut month = 1;
    while month < 12 && days >= days_in(year, month) {
        days -= days_in(year, month);
        month += 1;
    }
    let rest = secs % DAY_SECS;
    let (hour, minute, second) = (rest / 3600, rest / 60 % 60, rest % 60);
    format!("{year:04}-{month:02}-{:02}T{hour:02}:{minute:02}:{second:02}Z", days + 1)
}

fn days_in_year(year: u64) -> u64 {
    if is_leap(year) { 366 } else { 365 }
}

fn days_in(year: u64, month: u64) -> u64 {
    match month {
        4 | 6 | 9 | 11 => 30,
        2 if is_leap(year) => 29,
        2 => 28,
        _ => 31,
    }
}

fn is_leap(year: u64) -> bool {
    year.is_multiple_of(4) && (!year.is_multiple_of(100) || year.is_multiple_of(400))
}
