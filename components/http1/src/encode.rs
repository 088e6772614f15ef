//! Encodes heads and chunks.

use crate::Header;
use bytes::{BufMut, BytesMut};

/// Appends the head of a request, with `fields`.
pub fn request<'a, Fields>(into: &mut BytesMut, method: &[u8], target: &[u8], fields: Fields)
where
    Fields: Iterator<Item = (&'a [u8], &'a [u8])>,
{
    into.put_slice(method);
    into.put_u8(b' ');
    into.put_slice(target);
    into.put_slice(b" HTTP/1.1\r\n");
    put_fields(into, fields);
}

/// Appends the head of a response, with `fields`.
pub fn response<'a, Fields>(into: &mut BytesMut, status: u16, fields: Fields)
where
    Fields: Iterator<Item = (&'a [u8], &'a [u8])>,
{
    into.put_slice(b"HTTP/1.1 ");
    into.put_slice(status.to_string().as_bytes());
    into.put_u8(b' ');
    into.put_slice(reason(status).as_bytes());
    into.put_slice(b"\r\n");
    put_fields(into, fields);
}

/// Appends one chunk of a body; an empty one is left out, since it would end the body.
pub fn chunk(into: &mut BytesMut, data: &[u8]) {
    if data.is_empty() {
        return;
    }
    into.put_slice(format!("{:x}\r\n", data.len()).as_bytes());
    into.put_slice(data);
    into.put_slice(b"\r\n");
}

/// Appends the last chunk, which ends a chunked body.
pub fn last_chunk(into: &mut BytesMut) {
    into.put_slice(b"0\r\n\r\n");
}

impl Header {
    /// The name and the value, as the functions of this module take them.
    pub fn parts(&self) -> (&[u8], &[u8]) {
        (&self.name, &self.value)
    }
}

fn put_fields<'a, Fields>(into: &mut BytesMut, fields: Fields)
where
    Fields: Iterator<Item = (&'a [u8], &'a [u8])>,
{
    for (name, value) in fields {
        into.put_slice(name);
        into.put_slice(b": ");
        into.put_slice(value);
        into.put_slice(b"\r\n");
    }
    into.put_slice(b"\r\n");
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        204 => "No Content",
        400 => "Bad Request",
        404 => "Not Found",
        408 => "Request Timeout",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Status",
    }
}
