use crate::{Error, Framing, Headers};
use bytes::Bytes;

/// The most header fields of a message; more are refused as too large.
pub(crate) const MAX_FIELDS: usize = 96;

/// The head of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The method.
    pub method: Bytes,
    /// The path and query, exactly as received.
    pub target: Bytes,
    /// Whether the request is HTTP/1.1 rather than 1.0.
    pub http11: bool,
    /// The header fields.
    pub headers: Headers,
    /// How the body ends.
    pub framing: Framing,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Response {
    /// The status code.
    pub status: u16,
    /// The header fields.
    pub headers: Headers,
    /// How the body ends.
    pub framing: Framing,
    /// Whether the connection may carry another message afterwards.
    pub keep_alive: bool,
}

impl Request {
    /// The path without the query.
    pub fn path(&self) -> &str {
        let target = std::str::from_utf8(&self.target).unwrap_or_default();
        target.split_once('?').map_or(target, |(path, _)| path)
    }

    /// The query; empty if there is none.
    pub fn query(&self) -> &str {
        let target = std::str::from_utf8(&self.target).unwrap_or_default();
        target.split_once('?').map_or("", |(_, query)| query)
    }

    /// The bytes of memory that the head takes.
    pub fn size(&self) -> usize {
        self.method.len() + self.target.len() + self.headers.size()
    }

    /// Whether the client may send another request on the connection.
    pub fn keep_alive(&self) -> bool {
        self.http11 && !self.headers.has_token("connection", "close")
    }

    /// Parses a head at the start of `bytes`; also returns its length; `None` if incomplete.
    pub(crate) fn parse(bytes: &Bytes) -> Result<Option<(Request, usize)>, Error> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Request::new(&mut fields);
        let length = match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(httparse::Error::TooManyHeaders) => {
                return Err(Error::HeadTooLarge { limit: MAX_FIELDS });
            }
            Err(_) => return Err(Error::Malformed { reason: "invalid request head" }),
        };
        let (Some(method), Some(target), Some(version)) =
            (parsed.method, parsed.path, parsed.version)
        else {
            return Err(Error::Malformed { reason: "incomplete request line" });
        };
        if !target.starts_with('/') {
            return Err(Error::Malformed { reason: "the request target isn't a path" });
        }
        let kept = bytes.len() - method.len() - target.len();
        let headers = collect(bytes, parsed.headers, kept);
        let framing = Framing::of_request(&headers)?;
        let head = Request {
            method: bytes.slice_ref(method.as_bytes()),
            target: bytes.slice_ref(target.as_bytes()),
            http11: version == 1,
            headers,
            framing,
        };
        Ok(Some((head, length)))
    }
}

impl Response {
    /// Parses the response to a request with `method` at the start of `bytes`.
    pub(crate) fn parse(bytes: &Bytes, method: &[u8]) -> Result<Option<(Response, usize)>, Error> {
        let mut fields = [httparse::EMPTY_HEADER; MAX_FIELDS];
        let mut parsed = httparse::Response::new(&mut fields);
        let length = match parsed.parse(bytes) {
            Ok(httparse::Status::Complete(length)) => length,
            Ok(httparse::Status::Partial) => return Ok(None),
            Err(_) => return Err(Error::Malformed { reason: "invalid response head" }),
        };
        let (Some(status), Some(version)) = (parsed.code, parsed.version) else {
            return Err(Error::Malformed { reason: "incomplete status line" });
        };
        // A switch of protocols is never asked for.
        if !(100..600).contains(&status) || status == 101 {
            return Err(Error::Malformed { reason: "no status of a response" });
        }
        let headers = collect(bytes, parsed.headers, bytes.len());
        let framing = Framing::of_response(method, status, &headers)?;
        let keep_alive =
            version == 1 && framing != Framing::Close && !headers.has_token("connection", "close");
        Ok(Some((Response { status, headers, framing, keep_alive }, length)))
    }
}

/// Slices `fields` out of `bytes`, of which they count `kept`.
fn collect(bytes: &Bytes, fields: &[httparse::Header<'_>], kept: usize) -> Headers {
    let mut headers = Headers::of_message(kept);
    for field in fields {
        let name = bytes.slice_ref(field.name.as_bytes());
        // An empty value need not point into the buffer.
        let value = match field.value.is_empty() {
            true => Bytes::new(),
            false => bytes.slice_ref(field.value),
        };
        headers.push(name, value);
    }
    headers
}
