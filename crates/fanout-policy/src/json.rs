//! Reads typed fields of JSON objects, with errors that name the object and the field.

use serde_json::{Map, Value};
pub use wire_fields::{FieldError, FieldProblem};

/// Floating-point numbers from here on are not accepted as whole numbers; it is just above 2^63.
const WHOLE_NUMBER_LIMIT: f64 = 9.3e18;

/// A JSON object under the name that errors give it.
///
/// A field that is null counts as absent.
#[derive(Clone, Copy, Debug)]
pub struct JsonObject<'a> {
    name: &'a str,
    fields: &'a Map<String, Value>,
}

impl<'a> JsonObject<'a> {
    /// The object with these fields.
    #[must_use]
    pub fn new(name: &'a str, fields: &'a Map<String, Value>) -> Self {
        JsonObject { name, fields }
    }

    /// The name that errors give the object.
    #[must_use]
    pub fn name(&self) -> &'a str {
        self.name
    }

    /// The fields.
    #[must_use]
    pub fn fields(&self) -> &'a Map<String, Value> {
        self.fields
    }

    /// An error about a field of this object.
    #[must_use]
    pub fn error(&self, field: &str, problem: FieldProblem) -> FieldError {
        FieldError {
            object: self.name.to_owned(),
            field: field.to_owned(),
            problem,
        }
    }

    /// The value of a field, unless it is absent or null.
    #[must_use]
    pub fn get(&self, field: &str) -> Option<&'a Value> {
        self.fields.get(field).filter(|value| !value.is_null())
    }

    /// A number that may be absent.
    ///
    /// # Errors
    ///
    /// The field is not a number.
    pub fn optional_number(&self, field: &str) -> Result<Option<f64>, FieldError> {
        self.optional(field, Value::as_f64, FieldProblem::NotANumber)
    }

    /// A number.
    ///
    /// # Errors
    ///
    /// The field is missing or not a number.
    pub fn number(&self, field: &str) -> Result<f64, FieldError> {
        self.required(field, Value::as_f64, FieldProblem::NotANumber)
    }

    /// A whole number that may be absent. One that is written with a fraction of zero is accepted.
    ///
    /// # Errors
    ///
    /// The field is not a whole number.
    pub fn optional_whole_number(&self, field: &str) -> Result<Option<u64>, FieldError> {
        self.optional(field, to_whole_number, FieldProblem::NotAWholeNumber)
    }

    /// A whole number. One that is written with a fraction of zero is accepted.
    ///
    /// # Errors
    ///
    /// The field is missing or not a whole number.
    pub fn whole_number(&self, field: &str) -> Result<u64, FieldError> {
        self.required(field, to_whole_number, FieldProblem::NotAWholeNumber)
    }

    /// A string.
    ///
    /// # Errors
    ///
    /// The field is missing or not a string.
    pub fn text(&self, field: &str) -> Result<&'a str, FieldError> {
        self.required(field, Value::as_str, FieldProblem::NotAString)
    }

    /// A boolean; absent means false.
    ///
    /// # Errors
    ///
    /// The field is not a boolean.
    pub fn flag(&self, field: &str) -> Result<bool, FieldError> {
        let flag = self.optional(field, Value::as_bool, FieldProblem::NotABoolean)?;
        Ok(flag.unwrap_or(false))
    }

    /// An array.
    ///
    /// # Errors
    ///
    /// The field is missing or not an array.
    pub fn list(&self, field: &str) -> Result<&'a [Value], FieldError> {
        let elements = self.required(field, Value::as_array, FieldProblem::NotAList)?;
        Ok(elements)
    }

    /// An array of numbers.
    ///
    /// # Errors
    ///
    /// The field is missing, not an array, or has an element that is not a number.
    pub fn numbers(&self, field: &str) -> Result<Vec<f64>, FieldError> {
        let numbers: Option<Vec<f64>> = self.list(field)?.iter().map(Value::as_f64).collect();
        numbers.ok_or_else(|| self.error(field, FieldProblem::NotAListOfNumbers))
    }

    /// An object inside this one; errors call it by the field's name.
    ///
    /// # Errors
    ///
    /// The field is missing or not an object.
    pub fn object<'b>(&self, field: &'b str) -> Result<JsonObject<'b>, FieldError>
    where
        'a: 'b,
    {
        let fields = self.required(field, Value::as_object, FieldProblem::NotAnObject)?;
        Ok(JsonObject::new(field, fields))
    }

    /// An array of objects; errors call each of them by the field's name.
    ///
    /// # Errors
    ///
    /// The field is missing, not an array, or has an element that is not an object.
    pub fn objects<'b>(&self, field: &'b str) -> Result<Vec<JsonObject<'b>>, FieldError>
    where
        'a: 'b,
    {
        let mut objects = Vec::new();
        for element in self.list(field)? {
            let Some(fields) = element.as_object() else {
                return Err(self.error(field, FieldProblem::ElementNotAnObject));
            };
            objects.push(JsonObject::new(field, fields));
        }
        Ok(objects)
    }

    fn optional<T>(
        &self,
        field: &str,
        convert: impl FnOnce(&'a Value) -> Option<T>,
        problem: FieldProblem,
    ) -> Result<Option<T>, FieldError> {
        match self.get(field) {
            None => Ok(None),
            Some(value) => match convert(value) {
                Some(converted) => Ok(Some(converted)),
                None => Err(self.error(field, problem)),
            },
        }
    }

    fn required<T>(
        &self,
        field: &str,
        convert: impl FnOnce(&'a Value) -> Option<T>,
        problem: FieldProblem,
    ) -> Result<T, FieldError> {
        self.optional(field, convert, problem)?
            .ok_or_else(|| self.error(field, FieldProblem::Missing))
    }
}

/// The whole number that a value is, also where it is written as a floating-point number.
fn to_whole_number(value: &Value) -> Option<u64> {
    value.as_u64().or_else(|| {
        let number = value.as_f64()?;
        let is_whole = number.fract() == 0.0 && (0.0..WHOLE_NUMBER_LIMIT).contains(&number);
        is_whole.then_some(number as u64)
    })
}
