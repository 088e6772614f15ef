//! Files that a check reads.

use errors::{Error, Kind};
use std::fs::{self, File};
use std::io::Read;
use std::path::Path;

/// The most bytes of a file.
const MAX_BYTES: u64 = 16 * 1024 * 1024;
const BYTE_ORDER_MARK: &[u8] = "\u{feff}".as_bytes();

/// Reads a text file in UTF-8.
///
/// # Errors
///
/// [`Kind::TooLarge`], or [`Kind::Malformed`] for anything that is no such file.
pub fn read(path: &Path) -> Result<String, Error> {
    let fail = |kind, reason: &str| Err(Error::new(kind, format!("{}: {reason}", path.display())));
    match fs::metadata(path) {
        Err(cause) => return fail(Kind::Malformed, &format!("it can't be read: {cause}")),
        Ok(metadata) if metadata.is_dir() => {
            return fail(Kind::Malformed, "it is a directory; a file is expected");
        }
        Ok(metadata) if !metadata.is_file() => {
            return fail(Kind::Malformed, "it is no regular file");
        }
        Ok(_) => {}
    }
    let mut bytes = Vec::new();
    let read = File::open(path).and_then(|file| file.take(MAX_BYTES + 1).read_to_end(&mut bytes));
    if let Err(cause) = read {
        return fail(Kind::Malformed, &format!("it can't be read: {cause}"));
    }
    if bytes.len() as u64 > MAX_BYTES {
        return fail(Kind::TooLarge, &format!("it has more than {MAX_BYTES} bytes"));
    }
    if bytes.starts_with(BYTE_ORDER_MARK) {
        return fail(Kind::Malformed, "it begins with a byte order mark; plain UTF-8 is expected");
    }
    String::from_utf8(bytes).or_else(|cause| {
        let at = cause.utf8_error().valid_up_to();
        fail(Kind::Malformed, &format!("byte {at} is not UTF-8"))
    })
}
