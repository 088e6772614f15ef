use crate::limits::{
    BODY_BYTES_MAX, DEADLINE_MAX, HEADER_BYTES_MAX, HEADERS_MAX, NAME_BYTES_MAX, PATH_BYTES_MAX,
    TOKEN_BYTES_MAX,
};
use crate::{Request, header, lookup, parse_block};
use clock::Millis;
use errors::{Error, Kind};
use salvo::http::header::{
    CONNECTION, CONTENT_LENGTH, EXPECT, HOST, HeaderName, PROXY_AUTHORIZATION, TE, TRAILER,
    TRANSFER_ENCODING, UPGRADE,
};
use salvo::http::{HeaderMap, Method};
use std::sync::Arc;

/// The path under which services are reached.
pub const SERVICES: &str = "/v1/services/";

const CONNECTION_HEADERS: [HeaderName; 9] = [
    CONNECTION,
    CONTENT_LENGTH,
    EXPECT,
    HOST,
    PROXY_AUTHORIZATION,
    TE,
    TRAILER,
    TRANSFER_ENCODING,
    UPGRADE,
];
const HEATHERBEND_HEADERS: [&str; 4] =
    [header::BLOCK, header::DEADLINE, header::IDEMPOTENT, "keep-alive"];

/// Whether `text` may be the name of a service or the id of a request or an order.
pub fn is_name(text: &str) -> bool {
    let allowed = |byte: u8| byte.is_ascii_alphanumeric() || b"-_.~".contains(&byte);
    (1..=NAME_BYTES_MAX).contains(&text.len()) && text.bytes().all(allowed)
}

/// Parses a look-up.
pub fn query(req: &salvo::Request) -> Result<lookup::Query, Error> {
    check_size(req)?;
    let block = req.query::<String>("block").ok_or_else(|| malformed("block is missing"))?;
    let service = req.query::<String>("service").ok_or_else(|| malformed("service is missing"))?;
    let token = req.query::<String>("token");
    if token.as_ref().is_some_and(|token| token.len() > TOKEN_BYTES_MAX) {
        return Err(Error::new(
            Kind::TooLarge,
            "the renewal token is longer than allowed; send it as received",
        ));
    }
    Ok(lookup::Query {
        block: block_number(&block)?,
        service: name("service", &service)?,
        token: token.map(Arc::from),
    })
}

/// Parses a request to a service and reads its body.
pub async fn request(req: &mut salvo::Request) -> Result<Request, Error> {
    check_size(req)?;
    let (service, path) = target(req)?;
    let block = optional(req, header::BLOCK)?.ok_or_else(|| malformed("x-block is missing"))?;
    let request = Request {
        id: optional_name(req, header::REQUEST_ID)?,
        block: block_number(block)?,
        service,
        method: req.method().clone(),
        path,
        headers: forwarded(req.headers()),
        body: bytes::Bytes::new(),
        budget: budget(req)?,
        idempotent: idempotent(req)?,
        order: optional_name(req, header::ORDER_ID)?,
    };
    let body = body(req, request.budget.unwrap_or(DEADLINE_MAX)).await?;
    Ok(Request { body, ..request })
}

async fn body(req: &mut salvo::Request, budget: Millis) -> Result<bytes::Bytes, Error> {
    let declared = req.header::<usize>(CONTENT_LENGTH).unwrap_or(0);
    if declared > BODY_BYTES_MAX {
        return Err(Error::new(Kind::TooLarge, "the body is too large"));
    }
    let reading = req.payload_with_max_size(BODY_BYTES_MAX);
    match tokio::time::timeout(budget.duration(), reading).await {
        Ok(Ok(body)) => Ok(body.clone()),
        Ok(Err(salvo::http::ParseError::PayloadTooLarge)) => {
            Err(Error::new(Kind::TooLarge, "the body is too large"))
        }
        Ok(Err(error)) => Err(malformed(&format!("can't read the body: {error}"))),
        Err(_) => Err(Error::new(Kind::DeadlineBeforeSend, "the body didn't arrive in time")),
    }
}

fn check_size(req: &salvo::Request) -> Result<(), Error> {
    let headers = req.headers();
    let bytes: usize = headers.iter().map(|(name, value)| name.as_str().len() + value.len()).sum();
    if headers.len() > HEADERS_MAX || bytes > HEADER_BYTES_MAX {
        return Err(Error::new(Kind::TooLarge, "the headers are too large"));
    }
    let path = req.uri().path_and_query().map_or(0, |path| path.as_str().len());
    if path > PATH_BYTES_MAX {
        return Err(Error::new(Kind::TooLarge, "the path is too long"));
    }
    Ok(())
}

fn target(req: &salvo::Request) -> Result<(Arc<str>, Arc<str>), Error> {
    let target = req.uri().path_and_query().map_or("", |path| path.as_str());
    let rest = target.strip_prefix(SERVICES).ok_or_else(|| malformed("no service in the path"))?;
    let end = rest.find(['/', '?']).unwrap_or(rest.len());
    let (service, path) = rest.split_at(end);
    let path = if path.starts_with('/') { path.into() } else { format!("/{path}") };
    Ok((name("service", service)?, path.into()))
}

fn block_number(text: &str) -> Result<u32, Error> {
    parse_block(text).ok_or_else(|| malformed("a block is written as a.b.c.0/24"))
}

fn budget(req: &salvo::Request) -> Result<Option<Millis>, Error> {
    let Some(text) = optional(req, header::DEADLINE)? else {
        return Ok(None);
    };
    let millis = text.parse().map_err(|_| malformed("x-deadline-ms isn't a number"))?;
    Ok(Some(Millis(millis).min(DEADLINE_MAX)))
}

fn idempotent(req: &salvo::Request) -> Result<bool, Error> {
    match optional(req, header::IDEMPOTENT)? {
        Some("true") => Ok(true),
        Some("false") => Ok(false),
        Some(_) => Err(malformed("x-idempotent is true or false")),
        None => Ok(matches!(*req.method(), Method::GET | Method::HEAD | Method::OPTIONS)),
    }
}

fn optional_name(req: &salvo::Request, header: &str) -> Result<Option<Arc<str>>, Error> {
    optional(req, header)?.map(|text| name(header, text)).transpose()
}

fn name(what: &str, text: &str) -> Result<Arc<str>, Error> {
    if text.len() > NAME_BYTES_MAX {
        return Err(Error::new(Kind::TooLarge, format!("{what} is too long")));
    }
    if !is_name(text) {
        return Err(malformed(&format!("{what} has characters that aren't allowed")));
    }
    Ok(text.into())
}

fn optional<'a>(req: &'a salvo::Request, header: &str) -> Result<Option<&'a str>, Error> {
    let mut values = req.headers().get_all(header).iter();
    let first = values.next();
    if values.next().is_some() {
        return Err(malformed(&format!("{header} is given twice")));
    }
    let text = |value: &'a salvo::http::HeaderValue| value.to_str();
    first.map(text).transpose().map_err(|_| malformed(&format!("{header} isn't text")))
}

fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    for name in listed_in_connection(headers) {
        forwarded.remove(name);
    }
    for name in CONNECTION_HEADERS {
        forwarded.remove(name);
    }
    for name in HEATHERBEND_HEADERS {
        forwarded.remove(name);
    }
    forwarded
}

fn listed_in_connection(headers: &HeaderMap) -> Vec<HeaderName> {
    let values = headers.get_all(CONNECTION).iter().filter_map(|value| value.to_str().ok());
    let names = values.flat_map(|value| value.split(','));
    names.filter_map(|name| name.trim().parse().ok()).collect()
}

fn malformed(detail: &str) -> Error {
    Error::new(Kind::Malformed, detail)
}
