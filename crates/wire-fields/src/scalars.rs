//! Deserializers of numbers, strings and booleans.

use crate::FieldProblem;
use serde::de::value::Error as ChoiceError;
use serde::de::{Deserialize, Deserializer, Error, IntoDeserializer, Visitor};
use serde_json::Value;
use std::fmt;

/// Floating-point numbers from here on are not accepted as whole numbers; it is just above 2^63.
const WHOLE_NUMBER_LIMIT: f64 = 9.3e18;

/// A number.
///
/// # Errors
///
/// The field is null or not a number.
pub fn number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<f64, D::Error> {
    required(optional_number(deserializer)?)
}

/// A number that may be absent.
///
/// # Errors
///
/// The field is not a number.
pub fn optional_number<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<f64>, D::Error> {
    optional(deserializer, Value::as_f64, FieldProblem::NotANumber)
}

/// A whole number. One that is written with a fraction of zero is accepted.
///
/// # Errors
///
/// The field is null or not a whole number.
pub fn whole_number<'de, D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
    required(optional_whole_number(deserializer)?)
}

/// A whole number that may be absent. One that is written with a fraction of zero is accepted.
///
/// # Errors
///
/// The field is not a whole number.
pub fn optional_whole_number<'de, D: Deserializer<'de>>(
    deserializer: D,
) -> Result<Option<u64>, D::Error> {
    optional(deserializer, to_whole_number, FieldProblem::NotAWholeNumber)
}

/// A string.
///
/// # Errors
///
/// The field is null or not a string.
pub fn text<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: for<'text> From<&'text str>,
{
    deserializer.deserialize_any(TextVisitor(|text: &str| Ok(T::from(text))))
}

/// A string; what is not a string counts as an empty one.
///
/// # Errors
///
/// The input is not JSON.
pub fn text_or_empty<'de, D: Deserializer<'de>>(deserializer: D) -> Result<String, D::Error> {
    let value = Value::deserialize(deserializer)?;
    Ok(value.as_str().unwrap_or_default().to_owned())
}

/// A string that is the name of one of the variants of an enum.
///
/// # Errors
///
/// The field is null, not a string or not the name of a variant.
pub fn choice<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: for<'name> Deserialize<'name>,
{
    let to_variant = |name: &str| variant(name).ok_or(FieldProblem::UnknownValue);
    deserializer.deserialize_any(TextVisitor(to_variant))
}

/// The variant of an enum that a string names, if the field is a string and names one.
///
/// # Errors
///
/// The input is not JSON.
pub fn choice_or_none<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: for<'name> Deserialize<'name>,
{
    let value = Value::deserialize(deserializer)?;
    Ok(value.as_str().and_then(variant))
}

/// A boolean; null counts as false.
///
/// # Errors
///
/// The field is not a boolean.
pub fn flag<'de, D: Deserializer<'de>>(deserializer: D) -> Result<bool, D::Error> {
    let flag = optional(deserializer, Value::as_bool, FieldProblem::NotABoolean)?;
    Ok(flag.unwrap_or(false))
}

/// The variant of an enum with this name, if there is one.
#[must_use]
pub fn variant<'name, T: Deserialize<'name>>(name: &'name str) -> Option<T> {
    let name = IntoDeserializer::<ChoiceError>::into_deserializer(name);
    T::deserialize(name).ok()
}

/// Reads a string and converts it.
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

/// A value that may be null, in which case there is none.
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

fn required<T, E: Error>(value: Option<T>) -> Result<T, E> {
    value.ok_or_else(|| E::custom(FieldProblem::Missing))
}

/// The whole number that a value is, also where it is written as a floating-point number.
fn to_whole_number(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| {
        let number = value.as_f64()?;
        let is_whole = number.fract() == 0.0 && (0.0..WHOLE_NUMBER_LIMIT).contains(&number);
        is_whole.then_some(number as u64)
    })
}
