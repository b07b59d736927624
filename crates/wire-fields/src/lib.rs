//! Decodes JSON objects into `serde` structs, with errors that name the object and the field.
//!
//! [`decode`] decodes one object into a struct. The fields of the struct name one of this crate's
//! deserializers (such as [`number`] or [`objects`]) in `#[serde(deserialize_with = "...")]`. The
//! deserializers follow the same rules for all JSON that other processes and files provide: null
//! counts as absent, and a whole number may be written with a fraction of zero, as in `8.0`. Fields
//! of the object that the struct does not have are ignored. A field that may be absent also needs
//! `#[serde(default)]`, because `serde` does not call a deserializer for an absent field.
//!
//! A [`FieldError`] names the object and the field, but never quotes the rejected value.
//!
//! ```
//! use serde::Deserialize;
//! use wire_fields::{decode, number, optional_whole_number};
//!
//! #[derive(Deserialize)]
//! struct LimitsWire {
//!     #[serde(rename = "Timeout", deserialize_with = "number")]
//!     timeout_ms: f64,
//!     #[serde(rename = "Cap", default, deserialize_with = "optional_whole_number")]
//!     max_in_flight: Option<u64>,
//! }
//!
//! let read = |text: &str| {
//!     let value: serde_json::Value = serde_json::from_str(text).unwrap();
//!     decode::<LimitsWire>("limits", value.as_object().unwrap())
//! };
//! let limits = read(r#"{"Timeout": 250, "Cap": 8.0, "Other": []}"#).unwrap();
//! assert_eq!((limits.timeout_ms, limits.max_in_flight), (250.0, Some(8)));
//! let error = read(r#"{"Timeout": null}"#).err().unwrap();
//! assert_eq!(error.to_string(), "limits: field Timeout is missing or null");
//! ```

mod collections;
mod deferred;
mod error;
mod scalars;

pub use collections::{
    numbers, object, objects, optional_object, optional_objects, texts_or_empty,
};
pub use deferred::{Deferred, deferred_number, deferred_text};
pub use error::{FieldError, FieldProblem};
pub use scalars::{
    choice, choice_or_none, flag, number, optional_number, optional_whole_number, text,
    text_or_empty, variant_with_name, whole_number,
};

use serde::Deserialize;
use serde_json::{Map, Value};

/// Decodes the fields of an object into a struct. Errors use `object` as the name of the object,
/// and call an object inside it by the name of the field that contains it.
///
/// # Errors
///
/// Returns an error for a field that is missing or has a wrong type or value. If there are several
/// such fields, the error is about one of them.
pub fn decode<'de, T: Deserialize<'de>>(
    object: &str,
    fields: &'de Map<String, Value>,
) -> Result<T, FieldError> {
    // The first attempt does not record the path to the current field, because recording it takes
    // longer than decoding. Most objects are valid; only an invalid one is decoded a second time,
    // with the path, to find out which field is at fault.
    T::deserialize(fields).or_else(|_| {
        let result = serde_path_to_error::deserialize(fields);
        result.map_err(|error| FieldError::from_path_error(object, &error))
    })
}
