//! Decoding of a query's body. Each part is checked as soon as it is decoded, so that the first
//! invalid one ends the decoding, and no more parts are stored than there are shards.

use crate::invalid_request::InvalidRequest;
use crate::parts::{PartsChecker, RangeBody};
use broker_types::query::PartSpec;
use serde::Deserialize;
use serde::de::{DeserializeSeed, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use std::fmt;

/// The body of a valid query.
pub(crate) struct Body {
    /// The parts of the query.
    pub(crate) parts: Vec<PartSpec>,
    /// The predicate that the broker sends to the data servers with each part.
    pub(crate) predicate: String,
}

/// Decodes a body in a deployment with `shards` shards.
///
/// # Errors
///
/// Returns the first fault in the order of the bytes, except that a sum of weights other than 1 is
/// reported only if there is no other.
pub(crate) fn decode_body(bytes: &[u8], shards: usize) -> Result<Body, InvalidRequest> {
    let mut parts = PartsDecoder {
        checker: PartsChecker::new(shards),
        fault: None,
    };
    match decode_predicate(bytes, &mut parts) {
        Ok(predicate) => Ok(Body {
            parts: parts.checker.finish()?,
            predicate,
        }),
        Err(error) => Err(parts.fault.unwrap_or(InvalidRequest::from(error))),
    }
}

/// Decodes a body, passes its parts to `parts`, and returns its predicate.
fn decode_predicate(bytes: &[u8], parts: &mut PartsDecoder) -> serde_json::Result<String> {
    let mut deserializer = serde_json::Deserializer::from_slice(bytes);
    let predicate = BodyVisitor { parts }.deserialize(&mut deserializer)?;
    deserializer.end()?;
    Ok(predicate)
}

/// Names of the body's fields.
#[derive(Deserialize)]
#[serde(field_identifier, rename_all = "lowercase")]
enum Field {
    Ranges,
    Predicate,
    #[serde(other)]
    Unknown,
}

/// Decodes a body and returns its predicate.
struct BodyVisitor<'a> {
    parts: &'a mut PartsDecoder,
}

impl<'de> DeserializeSeed<'de> for BodyVisitor<'_> {
    type Value = String;

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<String, D::Error> {
        deserializer.deserialize_struct("Body", &["ranges", "predicate"], self)
    }
}

impl<'de> Visitor<'de> for BodyVisitor<'_> {
    type Value = String;

    /// The text is part of the JSON library's error messages, which clients receive.
    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("struct Body")
    }

    fn visit_map<A: MapAccess<'de>>(self, mut fields: A) -> Result<String, A::Error> {
        let mut has_parts = false;
        let mut predicate = None;
        while let Some(field) = fields.next_key()? {
            match field {
                Field::Ranges if has_parts => return Err(A::Error::duplicate_field("ranges")),
                Field::Ranges => {
                    fields.next_value_seed(&mut *self.parts)?;
                    has_parts = true;
                }
                Field::Predicate if predicate.is_some() => {
                    return Err(A::Error::duplicate_field("predicate"));
                }
                Field::Predicate => predicate = Some(fields.next_value()?),
                Field::Unknown => {
                    fields.next_value::<serde::de::IgnoredAny>()?;
                }
            }
        }
        if !has_parts {
            return Err(A::Error::missing_field("ranges"));
        }
        predicate.ok_or_else(|| A::Error::missing_field("predicate"))
    }

    /// A list of the two fields is accepted as well.
    fn visit_seq<A: SeqAccess<'de>>(self, mut fields: A) -> Result<String, A::Error> {
        let expected = &"struct Body with 2 elements";
        let missing = |found| A::Error::invalid_length(found, expected);
        fields
            .next_element_seed(self.parts)?
            .ok_or_else(|| missing(0))?;
        fields.next_element()?.ok_or_else(|| missing(1))
    }
}

/// Decodes the list of parts and checks each of them.
struct PartsDecoder {
    checker: PartsChecker,
    /// The reason why a part is invalid, which the error of the JSON library cannot hold.
    fault: Option<InvalidRequest>,
}

impl<'de> DeserializeSeed<'de> for &mut PartsDecoder {
    type Value = ();

    fn deserialize<D: Deserializer<'de>>(self, deserializer: D) -> Result<(), D::Error> {
        deserializer.deserialize_seq(self)
    }
}

impl<'de> Visitor<'de> for &mut PartsDecoder {
    type Value = ();

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a sequence")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut parts: A) -> Result<(), A::Error> {
        while let Some(part) = parts.next_element::<RangeBody>()? {
            if let Err(fault) = self.checker.add(part) {
                self.fault = Some(fault);
                return Err(A::Error::custom("invalid part"));
            }
        }
        Ok(())
    }
}
