//! Decodes chunked bodies. All chunks that have been received are decoded together, so that small ones
//! cost little more than their bytes.

use crate::Error;
use crate::reader::Progress;
use bytes::{Buf, Bytes, BytesMut};

/// The longest line that gives a chunk's size.
const MAX_LINE_BYTES: usize = 256;
/// The most bytes of trailers after the last chunk.
const MAX_TRAILER_BYTES: usize = 4 * 1024;
const LINE_END: &[u8] = b"\r\n";

/// Takes the content of all chunks at the start of `buffer`, and their framing. Returns no bytes if
/// there are none before more has been received, or before the end of the body.
pub(crate) fn decode(buffer: &mut BytesMut, progress: &mut Progress) -> Result<Bytes, Error> {
    // The content of later chunks is moved to the end of that of the first one.
    let (mut written, mut read) = (0, 0);
    loop {
        let rest = &buffer[read..];
        match *progress {
            Progress::ChunkRemaining(left) => {
                if written == 0 {
                    buffer.advance(std::mem::take(&mut read));
                }
                let length = usize::try_from(left).unwrap_or(usize::MAX).min(buffer.len() - read);
                if length == 0 {
                    break;
                }
                if written < read {
                    buffer.copy_within(read..read + length, written);
                }
                (written, read) = (written + length, read + length);
                *progress = match left - length as u64 {
                    0 => Progress::ChunkSize { first: false },
                    left => Progress::ChunkRemaining(left),
                };
            }
            Progress::ChunkSize { first } => {
                let end = if first { &[] } else { LINE_END };
                let known = rest.len().min(end.len());
                if rest[..known] != end[..known] {
                    return Err(Error::Malformed { reason: "a chunk is longer than its size" });
                }
                let Some(line) = line(&rest[known..], MAX_LINE_BYTES)? else {
                    break;
                };
                read += known + line.len() + LINE_END.len();
                *progress = match size(line)? {
                    0 => Progress::Trailers { length: 0 },
                    size => Progress::ChunkRemaining(size),
                };
            }
            Progress::Trailers { length } => {
                let Some(line) = line(rest, MAX_TRAILER_BYTES)? else {
                    break;
                };
                read += line.len() + LINE_END.len();
                let length = length + line.len();
                if length > MAX_TRAILER_BYTES {
                    return Err(Error::Malformed { reason: "the trailers are too long" });
                }
                *progress = match line.is_empty() {
                    true => Progress::Done,
                    false => Progress::Trailers { length },
                };
            }
            Progress::Done | Progress::Remaining(_) | Progress::UntilClose => break,
        }
    }
    let decoded = buffer.split_to(written).freeze();
    buffer.advance(read - written);
    Ok(decoded)
}

/// The first line of `bytes` without its end, of at most `limit` bytes; `None` if it is not complete.
fn line(bytes: &[u8], limit: usize) -> Result<Option<&[u8]>, Error> {
    let Some(end) = bytes.iter().take(limit + LINE_END.len()).position(|byte| *byte == b'\n')
    else {
        return match bytes.len() > limit {
            true => Err(Error::Malformed { reason: "a chunk or trailer line is too long" }),
            false => Ok(None),
        };
    };
    match bytes[..=end].strip_suffix(LINE_END) {
        Some(line) => Ok(Some(line)),
        None => Err(Error::Malformed { reason: "a line ends without a carriage return" }),
    }
}

fn size(line: &[u8]) -> Result<u64, Error> {
    let size = line.split(|byte| *byte == b';').next().unwrap_or_default();
    let size = std::str::from_utf8(size).unwrap_or_default().trim();
    let is_hex = !size.is_empty() && size.bytes().all(|byte| byte.is_ascii_hexdigit());
    let size = is_hex.then(|| u64::from_str_radix(size, 16).ok()).flatten();
    size.ok_or(Error::Malformed { reason: "invalid chunk size" })
}
