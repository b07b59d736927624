//! Decodes JSON objects into `serde` structs, with errors that name the object and the field.
//!
//! [`decode`] decodes an object. The functions for `deserialize_with` read the fields of its struct
//! the way all JSON from outside is read: null counts as absent, unknown fields are ignored, and a
//! whole number may be written with a fraction of zero. A [`FieldError`] never quotes the value
//! that it refuses. Fields that may be absent need `#[serde(default)]` as well.
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
//! assert_eq!(error.to_string(), "limits: field Timeout is missing");
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
    text_or_empty, variant, whole_number,
};

use serde::Deserialize;
use serde_json::{Map, Value};

/// Decodes an object, which errors call by this name. Objects inside it are called by their fields.
///
/// # Errors
///
/// One of the fields that are missing or have a wrong type or value.
pub fn decode<'de, T: Deserialize<'de>>(
    object: &str,
    fields: &'de Map<String, Value>,
) -> Result<T, FieldError> {
    // Most objects are valid, and keeping track of the path takes longer than decoding them.
    T::deserialize(fields).or_else(|_| {
        let result = serde_path_to_error::deserialize(fields);
        result.map_err(|error| FieldError::at_path(object, &error))
    })
}
