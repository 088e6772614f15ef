use serde::de::{Error, SeqAccess, Visitor};
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

/// Bytes that are encoded as one binary value.
///
/// A plain `Vec<u8>` would be encoded as a list of numbers, with up to two bytes for each byte.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Blob(pub bytes::Bytes);

impl Serialize for Blob {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        serializer.serialize_bytes(&self.0)
    }
}

impl<'de> Deserialize<'de> for Blob {
    fn deserialize<D>(deserializer: D) -> Result<Blob, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_byte_buf(BlobVisitor)
    }
}

struct BlobVisitor;

impl<'de> Visitor<'de> for BlobVisitor {
    type Value = Blob;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("bytes")
    }

    fn visit_bytes<E>(self, value: &[u8]) -> Result<Blob, E>
    where
        E: Error,
    {
        Ok(Blob(bytes::Bytes::copy_from_slice(value)))
    }

    fn visit_byte_buf<E>(self, value: Vec<u8>) -> Result<Blob, E>
    where
        E: Error,
    {
        Ok(Blob(value.into()))
    }

    fn visit_seq<A>(self, mut items: A) -> Result<Blob, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let mut bytes = Vec::new();
        while let Some(byte) = items.next_element()? {
            bytes.push(byte);
        }
        Ok(Blob(bytes.into()))
    }
}
