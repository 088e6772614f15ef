use crate::{Error, Headers};

/// How the end of a body is found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// There is no body.
    Empty,
    /// The body has this many bytes.
    Length(u64),
    /// The body is chunked.
    Chunked,
    /// The body ends when the connection is closed.
    Close,
}

impl Framing {
    /// The framing of a request.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] when the end of the body is ambiguous, which would allow request
    /// smuggling.
    pub fn of_request(headers: &Headers) -> Result<Framing, Error> {
        let chunked = is_chunked(headers)?;
        let length = length(headers)?;
        match (chunked, length) {
            (true, Some(_)) => Err(Error::Malformed {
                reason: "both Content-Length and Transfer-Encoding are given",
            }),
            (true, None) => Ok(Framing::Chunked),
            (false, None | Some(0)) => Ok(Framing::Empty),
            (false, Some(length)) => Ok(Framing::Length(length)),
        }
    }

    /// The framing of the response with `status` to a request with `method`.
    ///
    /// # Errors
    ///
    /// [`Error::Malformed`] when the framing is ambiguous.
    pub fn of_response(method: &[u8], status: u16, headers: &Headers) -> Result<Framing, Error> {
        if method == b"HEAD" || status == 204 || status == 304 || status < 200 {
            return Ok(Framing::Empty);
        }
        let chunked = is_chunked(headers)?;
        let length = length(headers)?;
        match (chunked, length) {
            (true, Some(_)) => Err(Error::Malformed {
                reason: "both Content-Length and Transfer-Encoding are given",
            }),
            (true, None) => Ok(Framing::Chunked),
            (false, Some(0)) => Ok(Framing::Empty),
            (false, Some(length)) => Ok(Framing::Length(length)),
            (false, None) => Ok(Framing::Close),
        }
    }
}

fn is_chunked(headers: &Headers) -> Result<bool, Error> {
    let mut codings = headers.all("transfer-encoding");
    let Some(coding) = codings.next() else {
        return Ok(false);
    };
    if codings.next().is_some() || !coding.eq_ignore_ascii_case(b"chunked") {
        return Err(Error::Malformed { reason: "the transfer coding isn't chunked" });
    }
    Ok(true)
}

fn length(headers: &Headers) -> Result<Option<u64>, Error> {
    let mut lengths = headers.all("content-length");
    let Some(length) = lengths.next() else {
        return Ok(None);
    };
    let digits = !length.is_empty() && length.iter().all(u8::is_ascii_digit);
    if lengths.next().is_some() || !digits {
        return Err(Error::Malformed { reason: "Content-Length isn't a single number" });
    }
    let text = std::str::from_utf8(length).unwrap_or_default();
    let parsed =
        text.parse().map_err(|_| Error::Malformed { reason: "Content-Length is out of range" });
    parsed.map(Some)
}
