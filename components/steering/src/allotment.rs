use crate::Allotment;
use serde::de::{Error, SeqAccess, Visitor};
use serde::ser::SerializeTuple;
use serde::{Deserialize, Deserializer, Serialize, Serializer};
use std::fmt;

impl Serialize for Allotment {
    fn serialize<S>(&self, serializer: S) -> Result<S::Ok, S::Error>
    where
        S: Serializer,
    {
        if self.extra == 0 {
            return serializer.serialize_u32(self.share);
        }
        let mut pair = serializer.serialize_tuple(2)?;
        pair.serialize_element(&self.share)?;
        pair.serialize_element(&self.extra)?;
        pair.end()
    }
}

impl<'de> Deserialize<'de> for Allotment {
    fn deserialize<D>(deserializer: D) -> Result<Allotment, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(AllotmentVisitor)
    }
}

struct AllotmentVisitor;

impl<'de> Visitor<'de> for AllotmentVisitor {
    type Value = Allotment;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a share as an integer, or a pair of share and extra units")
    }

    fn visit_u64<E>(self, share: u64) -> Result<Allotment, E>
    where
        E: Error,
    {
        let share = u32::try_from(share).map_err(|_| E::custom("share exceeds 32 bits"))?;
        Ok(Allotment::exact(share))
    }

    fn visit_seq<A>(self, mut pair: A) -> Result<Allotment, A::Error>
    where
        A: SeqAccess<'de>,
    {
        let share = pair.next_element()?.ok_or_else(|| A::Error::invalid_length(0, &self))?;
        let extra = pair.next_element()?.ok_or_else(|| A::Error::invalid_length(1, &self))?;
        Ok(Allotment { share, extra })
    }
}
