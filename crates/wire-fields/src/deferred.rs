//! Fields that are checked only where their value is needed.

use crate::{FieldError, FieldProblem};
use serde::de::{Deserialize, Deserializer};
use serde_json::Value;

/// A field whose faults count only where its value is needed.
#[derive(Clone, Debug)]
pub struct Deferred<T>(Result<T, FieldProblem>);

/// The field is absent.
impl<T> Default for Deferred<T> {
    fn default() -> Self {
        Deferred(Err(FieldProblem::Missing))
    }
}

impl<T> Deferred<T> {
    /// The value. Errors call the field by these names.
    ///
    /// # Errors
    ///
    /// The field is absent, null or of a wrong type.
    pub fn required(self, object: &str, field: &str) -> Result<T, FieldError> {
        self.0
            .map_err(|problem| FieldError::new(object, field, problem))
    }

    /// The value of a field that may be absent. Errors call the field by these names.
    ///
    /// # Errors
    ///
    /// The field is of a wrong type.
    pub fn optional(self, object: &str, field: &str) -> Result<Option<T>, FieldError> {
        match self.0 {
            Err(FieldProblem::Missing) => Ok(None),
            _ => self.required(object, field).map(Some),
        }
    }
}

/// A number that is checked where it is needed.
///
/// # Errors
///
/// The input is not JSON.
pub fn deferred_number<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Deferred<f64>, D::Error> {
    let value = Value::deserialize(deserializer)?;
    Ok(Deferred(match value {
        Value::Null => Err(FieldProblem::Missing),
        value => value.as_f64().ok_or(FieldProblem::NotANumber),
    }))
}

/// A string that is checked where it is needed.
///
/// # Errors
///
/// The input is not JSON.
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
