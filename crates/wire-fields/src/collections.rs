//! Deserializers of objects and lists.

use crate::FieldProblem;
use serde::de::value::MapAccessDeserializer;
use serde::de::{Deserialize, Deserializer, Error, MapAccess, SeqAccess, Visitor};
use serde_json::Value;
use std::fmt;
use std::marker::PhantomData;

/// An object inside another; errors call it by the field's name.
///
/// # Errors
///
/// The field is null or not an object.
pub fn object<'de, D, T>(deserializer: D) -> Result<T, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    let object = optional_object(deserializer)?;
    object.ok_or_else(|| D::Error::custom(FieldProblem::Missing))
}

/// An object inside another that may be absent; errors call it by the field's name.
///
/// # Errors
///
/// The field is not an object.
pub fn optional_object<'de, D, T>(deserializer: D) -> Result<Option<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    deserializer.deserialize_any(ObjectVisitor::new(FieldProblem::NotAnObject))
}

/// A list of objects; errors call each of them by the field's name.
///
/// # Errors
///
/// The field is null, not a list, or has an element that is not an object.
pub fn objects<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    let list: Option<Vec<ObjectElement<T>>> = optional_list(deserializer)?;
    let elements = list.ok_or_else(|| D::Error::custom(FieldProblem::Missing))?;
    Ok(elements.into_iter().map(|element| element.0).collect())
}

/// A list of objects, empty where it is null; errors call each of the objects by the field's name.
///
/// # Errors
///
/// The field is not a list, or has an element that is not an object.
pub fn optional_objects<'de, D, T>(deserializer: D) -> Result<Vec<T>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    let list: Option<Vec<ObjectElement<T>>> = optional_list(deserializer)?;
    let elements = list.unwrap_or_default();
    Ok(elements.into_iter().map(|element| element.0).collect())
}

/// A list of numbers.
///
/// # Errors
///
/// The field is null, not a list, or has an element that is not a number.
pub fn numbers<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<f64>, D::Error> {
    let list: Option<Vec<Value>> = optional_list(deserializer)?;
    let elements = list.ok_or_else(|| D::Error::custom(FieldProblem::Missing))?;
    let numbers: Option<Vec<f64>> = elements.iter().map(Value::as_f64).collect();
    numbers.ok_or_else(|| D::Error::custom(FieldProblem::NotAListOfNumbers))
}

/// A list of strings, empty where it is null. An element that is not a string counts as an empty
/// one.
///
/// # Errors
///
/// The field is not a list.
pub fn texts_or_empty<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<String>, D::Error> {
    let list: Option<Vec<Value>> = optional_list(deserializer)?;
    let elements = list.unwrap_or_default().into_iter();
    let text = |element: Value| element.as_str().unwrap_or_default().to_owned();
    Ok(elements.map(text).collect())
}

fn optional_list<'de, D, T>(deserializer: D) -> Result<Option<Vec<T>>, D::Error>
where
    D: Deserializer<'de>,
    T: Deserialize<'de>,
{
    deserializer.deserialize_any(ListVisitor(PhantomData))
}

/// An object in a list.
struct ObjectElement<T>(T);

impl<'de, T: Deserialize<'de>> Deserialize<'de> for ObjectElement<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let problem = FieldProblem::ElementNotAnObject;
        let object = deserializer.deserialize_any(ObjectVisitor::new(problem))?;
        let object = object.ok_or_else(|| D::Error::custom(problem))?;
        Ok(ObjectElement(object))
    }
}

/// Reads an object or null.
struct ObjectVisitor<T> {
    /// The problem with anything else.
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

/// Reads a list or null.
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
