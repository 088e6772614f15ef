use crate::head::MAX_FIELDS;
use bytes::{Bytes, BytesMut};

/// One header field, as it was received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Header {
    /// The name in the sender's case.
    pub name: Bytes,
    /// The value without surrounding blanks.
    pub value: Bytes,
}

/// The header fields of a message in their order.
#[derive(Clone, Debug, Default)]
pub struct Headers {
    fields: Vec<Header>,
    /// The bytes of the received message that the fields keep in memory.
    kept: usize,
}

/// The most memory that the fields of a received message take beside their text, in bytes.
pub const MAX_FIELDS_SIZE: usize = MAX_FIELDS.next_power_of_two() * size_of::<Header>();

/// Fields that apply to one connection only and are never forwarded.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

impl Header {
    fn len(&self) -> usize {
        self.name.len() + self.value.len()
    }
}

impl PartialEq for Headers {
    fn eq(&self, other: &Headers) -> bool {
        self.fields == other.fields
    }
}

impl Eq for Headers {}

impl Headers {
    /// Fields that are slices of a message, of which they keep `kept` bytes in memory.
    pub(crate) fn of_message(kept: usize) -> Headers {
        Headers { fields: Vec::new(), kept }
    }

    /// A copy of `fields` that keeps nothing else of their message in memory.
    pub fn copy<'a>(fields: impl Iterator<Item = &'a Header> + Clone) -> Headers {
        let mut text = BytesMut::with_capacity(fields.clone().map(Header::len).sum());
        let mut copy = Headers::default();
        for field in fields {
            let mut part = |bytes: &Bytes| {
                text.extend_from_slice(bytes);
                text.split().freeze()
            };
            let (name, value) = (part(&field.name), part(&field.value));
            copy.push(name, value);
        }
        copy
    }

    /// Adds a field.
    pub fn push<Name, Value>(&mut self, name: Name, value: Value)
    where
        Name: Into<Bytes>,
        Value: Into<Bytes>,
    {
        self.fields.push(Header { name: name.into(), value: value.into() });
    }

    /// The bytes of memory that the fields take.
    pub fn size(&self) -> usize {
        let texts: usize = self.fields.iter().map(Header::len).sum();
        texts.max(self.kept) + self.fields.capacity() * size_of::<Header>()
    }

    /// The fields in order.
    pub fn iter(&self) -> impl Iterator<Item = &Header> {
        self.fields.iter()
    }

    /// All values of the field `name`, in order.
    pub fn all<'a>(&'a self, name: &'a str) -> impl Iterator<Item = &'a Bytes> {
        self.fields.iter().filter(|field| is(field, name)).map(|field| &field.value)
    }

    /// The first value of the field `name`.
    pub fn get(&self, name: &str) -> Option<&Bytes> {
        self.fields.iter().find(|field| is(field, name)).map(|field| &field.value)
    }

    /// The first value of the field `name`, if it is text.
    pub fn text(&self, name: &str) -> Option<&str> {
        std::str::from_utf8(self.get(name)?).ok()
    }

    /// Whether a list field such as `Connection` holds `token`.
    pub fn has_token(&self, name: &str, token: &str) -> bool {
        self.all(name).any(|value| tokens(value).any(|each| each.eq_ignore_ascii_case(token)))
    }

    /// The fields to forward, without hop-by-hop ones and those listed in `Connection`.
    pub fn end_to_end(&self) -> impl Iterator<Item = &Header> + Clone {
        self.fields.iter().filter(|field| {
            let name = std::str::from_utf8(&field.name).unwrap_or_default();
            let hop = HOP_BY_HOP.iter().any(|each| name.eq_ignore_ascii_case(each));
            !hop && !self.has_token("connection", name)
        })
    }
}

fn is(field: &Header, name: &str) -> bool {
    field.name.eq_ignore_ascii_case(name.as_bytes())
}

fn tokens(value: &Bytes) -> impl Iterator<Item = &str> {
    std::str::from_utf8(value).unwrap_or_default().split(',').map(str::trim)
}
