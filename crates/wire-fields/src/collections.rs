//! Deserializers of objects and lists.

use crate::FieldProblem;
use serde::de::value::MapAccessDeserializer;
use serde::de::{Deserialize, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::Value;
use std::fmt;
use std::marker::PhantomData;

/// Deserializes a required object inside another. Errors call the inner object by the name of the
/// field.
///
/// # Errors
///
/// Returns an error if the field is null or not an object, or if decoding the object fails.
pub fn object<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    let object = optional_object(deserializer)?;
    object.ok_or_else(|| D::Error::custom(FieldProblem::Missing))
}

/// Deserializes an object inside another, or `None` if the field is null. Errors call the inner
/// object by the name of the field.
///
/// # Errors
///
/// Returns an error if the field is neither null nor an object, or if decoding the object fails.
pub fn optional_object<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    deserializer.deserialize_any(ObjectVisitor::new(FieldProblem::NotAnObject))
}

/// Deserializes a required list of objects. Errors call each of the objects by the name of the
/// field.
///
/// # Errors
///
/// Returns an error if the field is null, not a list, or has an element that is not an object, or
/// if decoding an element fails.
pub fn objects<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    let list: Option<Vec<ObjectElement<T>>> = optional_list(deserializer)?;
    let elements = list.ok_or_else(|| D::Error::custom(FieldProblem::Missing))?;
    Ok(elements.into_iter().map(|element| element.0).collect())
}

/// Deserializes a list of objects. Null is read as an empty list. Errors call each of the objects
/// by the name of the field.
///
/// # Errors
///
/// Returns an error if the field is neither null nor a list, or has an element that is not an
/// object, or if decoding an element fails.
pub fn optional_objects<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    let list: Option<Vec<ObjectElement<T>>> = optional_list(deserializer)?;
    let elements = list.unwrap_or_default();
    Ok(elements.into_iter().map(|element| element.0).collect())
}

/// Deserializes a required list of numbers.
///
/// # Errors
///
/// Returns an error if the field is null, not a list, or has an element that is not a number.
pub fn numbers<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<f64>, D::Error> {
    let list: Option<Vec<Value>> = optional_list(deserializer)?;
    let elements = list.ok_or_else(|| D::Error::custom(FieldProblem::Missing))?;
    let numbers: Option<Vec<f64>> = elements.iter().map(Value::as_f64).collect();
    numbers.ok_or_else(|| D::Error::custom(FieldProblem::NotAListOfNumbers))
}

/// Deserializes a list of strings. Null is read as an empty list, and an element that is not a
/// string as the empty string.
///
/// # Errors
///
/// Returns an error if the field is neither null nor a list.
pub fn texts_or_empty<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<String>, D::Error> {
    let list: Option<Vec<Value>> = optional_list(deserializer)?;
    let elements = list.unwrap_or_default().into_iter();
    let text = |element: Value| element.as_str().unwrap_or_default().to_owned();
    Ok(elements.map(text).collect())
}

/// Deserializes a list, or `None` if the field is null.
fn optional_list<'de, D, T>(deserializer: D) -> Result<Option<Vec<T>>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    deserializer.deserialize_any(ListVisitor(PhantomData))
}

/// An element of a list that has to be an object.
struct ObjectElement<T>(T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for ObjectElement<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let problem = FieldProblem::ElementNotAnObject;
        let object = deserializer.deserialize_any(ObjectVisitor::new(problem))?;
        let object = object.ok_or_else(|| D::Error::custom(problem))?;
        Ok(ObjectElement(object))
    }
}

/// Visits an object and decodes it as a `T`. Null is read as `None`.
struct ObjectVisitor<T> {
    /// The problem to report for a value of any other type.
    problem: FieldProblem,
    object: PhantomData<T>,
}

impl<T> ObjectVisitor<T> {
    fn new(problem: FieldProblem) -> Self {
        ObjectVisitor {
            problem,
            object: PhantomData,
        }
    }
}

impl<'de, T: Deserialize<'de>> Visitor<'de> for ObjectVisitor<T> {
    type Value = Option<T>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.problem.expectation())
    }

    fn visit_map<A: MapAccess<'de>>(self, fields: A) -> Result<Self::Value, A::Error> {
        T::deserialize(MapAccessDeserializer::new(fields)).map(Some)
    }

    fn visit_unit<E: Error>(self) -> Result<Self::Value, E> {
        Ok(None)
    }
}

/// Visits a list and decodes its elements. Null is read as `None`.
struct ListVisitor<T>(PhantomData<T>);

impl<'de, T: Deserialize<'de>> Visitor<'de> for ListVisitor<T> {
    type Value = Option<Vec<T>>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(FieldProblem::NotAList.expectation())
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut sequence: A) -> Result<Self::Value, A::Error> {
        let mut elements = Vec::new();
        while let Some(element) = sequence.next_element()? {
            elements.push(element);
        }
        Ok(Some(elements))
    }

    fn visit_unit<E: Error>(self) -> Result<Self::Value, E> {
        Ok(None)
    }
}
