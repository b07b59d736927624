//! Deserializers of numbers, strings and booleans.

use crate::FieldProblem;
use serde::de::value::Error as ChoiceError;
use serde::de::{Deserialize, Deserializer, Error, IntoDeserializer, Visitor};
use serde_json::Value;
use std::fmt;

/// Upper limit of the floating-point numbers that are accepted as whole numbers; the limit itself is
/// rejected. It is just above 2^63 (about 9.22e18) and below 2^64, so every accepted number fits
/// into a `u64`. `serde_json` reads a number as floating-point if it has a fraction or an exponent or
/// exceeds `u64::MAX`. The limit does not apply to other numbers.
const WHOLE_NUMBER_LIMIT: f64 = 9.3e18;

/// Deserializes a required number.
///
/// # Errors
///
/// Returns an error if the field is null or not a number.
pub fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    required(optional_number(deserializer)?)
}

/// Deserializes a number, or `None` if the field is null.
///
/// # Errors
///
/// Returns an error if the field is neither null nor a number.
pub fn optional_number<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<f64>, D::Error> {
    optional(deserializer, Value::as_f64, FieldProblem::NotANumber)
}

/// Deserializes a required whole number of at least 0. It may be written with a fraction of zero.
///
/// # Errors
///
/// Returns an error if the field is null or not a whole number of at least 0.
pub fn whole_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    required(optional_whole_number(deserializer)?)
}

/// Deserializes a whole number of at least 0, or `None` if the field is null. The number may be
/// written with a fraction of zero.
///
/// # Errors
///
/// Returns an error if the field is neither null nor a whole number of at least 0.
pub fn optional_whole_number<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<u64>, D::Error> {
    optional(deserializer, to_whole_number, FieldProblem::NotAWholeNumber)
}

/// Deserializes a required string.
///
/// # Errors
///
/// Returns an error if the field is null or not a string.
pub fn text<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: for<'text> From<&'text str>,
{
    deserializer.deserialize_any(TextVisitor(|text: &str| Ok(T::from(text))))
}

/// Deserializes a string. A value of any other type is read as the empty string.
///
/// # Errors
///
/// Returns an error only if the input is not JSON.
pub fn text_or_empty<'de, D: Deserializer<'de>>(deserializer: D) -> Result<String, D::Error> {
    let value = Value::deserialize(deserializer)?;
    Ok(value.as_str().unwrap_or_default().to_owned())
}

/// Deserializes a required string that is the name of a variant of the enum `T`.
///
/// # Errors
///
/// Returns an error if the field is null, not a string or not the name of a variant.
pub fn choice<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: for<'name> Deserialize<'name>,
{
    let to_variant = |name: &str| variant_with_name(name).ok_or(FieldProblem::UnknownValue);
    deserializer.deserialize_any(TextVisitor(to_variant))
}

/// Deserializes the name of a variant of the enum `T`. Any other string and a value of any other
/// type are read as `None`.
///
/// # Errors
///
/// Returns an error only if the input is not JSON.
pub fn choice_or_none<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: for<'name> Deserialize<'name>,
{
    let value = Value::deserialize(deserializer)?;
    Ok(value.as_str().and_then(variant_with_name))
}

/// Deserializes a boolean. Null is read as `false`.
///
/// # Errors
///
/// Returns an error if the field is neither null nor a boolean.
pub fn flag<'de, D: Deserializer<'de>>(deserializer: D) -> Result<bool, D::Error> {
    let flag = optional(deserializer, Value::as_bool, FieldProblem::NotABoolean)?;
    Ok(flag.unwrap_or(false))
}

/// Returns the variant of the enum `T` whose name (as `serde` reads it) is `name`, or `None` if
/// there is none.
#[must_use]
pub fn variant_with_name<'name, T: Deserialize<'name>>(name: &'name str) -> Option<T> {
    let name = IntoDeserializer::<ChoiceError>::into_deserializer(name);
    T::deserialize(name).ok()
}

/// Visits a string and converts it with the contained function. Null is reported as a missing
/// field.
struct TextVisitor<F>(F);

impl<T, F> Visitor<'_> for TextVisitor<F>
where
    F: FnOnce(&str) -> Result<T, FieldProblem>,
{
    type Value = T;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(FieldProblem::NotAString.expectation())
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<T, E> {
        (self.0)(text).map_err(E::custom)
    }

    fn visit_unit<E: Error>(self) -> Result<T, E> {
        Err(E::custom(FieldProblem::Missing))
    }
}

/// Deserializes any JSON value and converts it with `convert`. Returns `None` if the value is null,
/// and an error with `problem` if `convert` returns `None`.
fn optional<'de, D: Deserializer<'de>, T>(
    deserializer: D,
    convert: impl FnOnce(&Value) -> Option<T>,
    problem: FieldProblem,
) -> Result<Option<T>, D::Error> {
    let value = Value::deserialize(deserializer)?;
    if value.is_null() {
        return Ok(None);
    }
    match convert(&value) {
        Some(converted) => Ok(Some(converted)),
        None => Err(D::Error::custom(problem)),
    }
}

/// Returns the value, or the error of a missing field if there is none.
fn required<T, E: Error>(value: Option<T>) -> Result<T, E> {
    value.ok_or_else(|| E::custom(FieldProblem::Missing))
}

/// Returns the value as a whole number of at least 0, also if it is written as a floating-point
/// number with a fraction of zero. Returns `None` for any other value.
fn to_whole_number(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| {
        let number = value.as_f64()?;
        let is_whole = number.fract() == 0.0 && (0.0..WHOLE_NUMBER_LIMIT).contains(&number);
        is_whole.then_some(number as u64)
    })
}
