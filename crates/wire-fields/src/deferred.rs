//! Fields for which a wrong type becomes an error only when the program uses their value.

use crate::{FieldError, FieldProblem};
use serde::de::{Deserialize, Deserializer};
use serde_json::Value;

/// The value of a field, or the problem with it. Decoding the object succeeds in both cases; the
/// problem becomes an error only when [`Deferred::required`] or [`Deferred::optional`] is called.
/// This suits a field whose value is not always used, for example because an environment variable
/// can override it. A problem with a field that is not used is then ignored.
#[derive(Clone, Debug)]
pub struct Deferred<T>(Result<T, FieldProblem>);

/// Creates an absent field.
impl<T> Default for Deferred<T> {
    fn default() -> Self {
        Deferred(Err(FieldProblem::Missing))
    }
}

impl<T> Deferred<T> {
    /// Returns the value. Errors use `object` and `field` as the names of the object and the field.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is absent, null or of a wrong type.
    pub fn required(self, object: &str, field: &str) -> Result<T, FieldError> {
        self.0
            .map_err(|problem| FieldError::new(object, field, problem))
    }

    /// Returns the value, or `None` if the field is absent or null. Errors use `object` and `field`
    /// as the names of the object and the field.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is present and of a wrong type.
    pub fn optional(self, object: &str, field: &str) -> Result<Option<T>, FieldError> {
        match self.0 {
            Err(FieldProblem::Missing) => Ok(None),
            _ => self.required(object, field).map(Some),
        }
    }
}

/// Deserializes a number. A value of a wrong type becomes an error only when it is used.
///
/// # Errors
///
/// Returns an error only if the input is not JSON.
pub fn deferred_number<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Deferred<f64>, D::Error> {
    let value = Value::deserialize(deserializer)?;
    Ok(Deferred(match value {
        Value::Null => Err(FieldProblem::Missing),
        value => value.as_f64().ok_or(FieldProblem::NotANumber),
    }))
}

/// Deserializes a string. A value of a wrong type becomes an error only when it is used.
///
/// # Errors
///
/// Returns an error only if the input is not JSON.
pub fn deferred_text<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Deferred<String>, D::Error> {
    let value = Value::deserialize(deserializer)?;
    Ok(Deferred(match value {
        Value::Null => Err(FieldProblem::Missing),
        Value::String(text) => Ok(text),
        _ => Err(FieldProblem::NotAString),
    }))
}
