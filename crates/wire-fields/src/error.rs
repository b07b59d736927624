//! Errors that name the object, the field and the problem.

use serde_path_to_error::Segment;
use thiserror::Error;

/// What is wrong with a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FieldProblem {
    /// It is absent or null.
    #[error("is missing")]
    Missing,
    /// It is not a number.
    #[error("is not a number")]
    NotANumber,
    /// It is not a whole number from 0.
    #[error("is not a whole number")]
    NotAWholeNumber,
    /// It is not a string.
    #[error("is not a string")]
    NotAString,
    /// It is not a boolean.
    #[error("is not true or false")]
    NotABoolean,
    /// It is not an array.
    #[error("is not a list")]
    NotAList,
    /// It is an array with an element that is not a number.
    #[error("is not a list of numbers")]
    NotAListOfNumbers,
    /// It is not an object.
    #[error("is not an object")]
    NotAnObject,
    /// It is an array with an element that is not an object.
    #[error("holds something that is not an object")]
    ElementNotAnObject,
    /// It is an array with fewer elements than needed.
    #[error("has too few entries")]
    TooFewEntries,
    /// It is a string that is none of the expected ones.
    #[error("is unknown")]
    UnknownValue,
    /// It was refused by a deserializer that is not one of this crate's.
    #[error("is malformed")]
    Malformed,
}

/// A faulty field of a JSON object.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{object}: field {field} {problem}")]
pub struct FieldError {
    /// Name of the object.
    pub object: String,
    /// Name of the field.
    pub field: String,
    /// What is wrong with it.
    pub problem: FieldProblem,
}

impl FieldProblem {
    /// The problems that deserializers report.
    const REPORTED: [FieldProblem; 10] = [
        FieldProblem::Missing,
        FieldProblem::NotANumber,
        FieldProblem::NotAWholeNumber,
        FieldProblem::NotAString,
        FieldProblem::NotABoolean,
        FieldProblem::NotAList,
        FieldProblem::NotAListOfNumbers,
        FieldProblem::NotAnObject,
        FieldProblem::ElementNotAnObject,
        FieldProblem::UnknownValue,
    ];

    /// What the deserializers of this crate expect where they find this problem with the type of a
    /// value.
    pub(crate) fn expectation(self) -> &'static str {
        match self {
            FieldProblem::NotAString => "a string",
            FieldProblem::NotAList => "a list",
            FieldProblem::ElementNotAnObject => "a list of objects",
            FieldProblem::NotAnObject => "an object",
            _ => "another value",
        }
    }

    /// The problem of a deserializer's error, of which `serde_json` keeps only the text. It ends
    /// with the expectation, after a quote of the value, where the type is wrong.
    fn with_text(text: &str) -> FieldProblem {
        let mut problems = FieldProblem::REPORTED.into_iter();
        let reported = match text.rsplit_once(", expected ") {
            Some((_, expectation)) => problems.find(|problem| problem.expectation() == expectation),
            None => problems.find(|problem| problem.to_string() == text),
        };
        reported.unwrap_or(FieldProblem::Malformed)
    }
}

impl FieldError {
    /// An error about a field of an object.
    #[must_use]
    pub fn new(object: &str, field: &str, problem: FieldProblem) -> Self {
        FieldError {
            object: object.to_owned(),
            field: field.to_owned(),
            problem,
        }
    }

    /// The error of a deserializer in an object that errors call `root`.
    pub(crate) fn at_path(
        root: &str,
        error: &serde_path_to_error::Error<serde_json::Error>,
    ) -> Self {
        let mut names = vec![root];
        for segment in error.path() {
            // An element of a list is called by the field of the list.
            if let Segment::Map { key } = segment {
                names.push(key);
            }
        }
        let text = error.inner().to_string();
        if let Some(field) = absent_field(&text) {
            let object = names.last().unwrap_or(&root);
            return FieldError::new(object, field, FieldProblem::Missing);
        }
        let field = names.pop().unwrap_or(root);
        let object = names.last().unwrap_or(&root);
        FieldError::new(object, field, FieldProblem::with_text(&text))
    }
}

/// The field that the text of `serde`'s error about an absent field names. The path ends at the
/// object without it.
fn absent_field(text: &str) -> Option<&str> {
    text.strip_prefix("missing field `")?.strip_suffix('`')
}
