//! Errors that name the object, the field and the problem, without the value of the field.

use serde_path_to_error::Segment;
use thiserror::Error;

/// What is wrong with a field.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FieldProblem {
    /// It is absent or null.
    #[error("is missing or null")]
    Missing,
    /// It is not a number.
    #[error("is not a number")]
    NotANumber,
    /// It is not a whole number of at least 0, or is too large.
    #[error("is not a whole number of at least 0")]
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
    #[error("has an element that is not an object")]
    ElementNotAnObject,
    /// It is an array with fewer elements than needed.
    #[error("has too few elements")]
    TooFewElements,
    /// It is a string, but none of the accepted ones.
    #[error("is not one of the accepted values")]
    UnknownValue,
    /// It was rejected by a deserializer from outside this crate, such as that of a field without
    /// `deserialize_with`.
    #[error("has an invalid type or value")]
    Malformed,
}

/// An error about one field of a JSON object.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{object}: field {field} {problem}")]
pub struct FieldError {
    /// Name of the object that contains the field.
    pub object: String,
    /// Name of the field.
    pub field: String,
    /// What is wrong with the field.
    pub problem: FieldProblem,
}

impl FieldProblem {
    /// The problems that the deserializers of this crate report. [`FieldProblem::from_error_text`]
    /// searches them.
    const REPORTED_BY_DESERIALIZERS: [FieldProblem; 10] = [
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

    /// Returns the description of the expected value that a visitor of this crate gives for this
    /// problem. If the visitor finds a value of a wrong type, `serde` ends the text of its error
    /// with `, expected ` and this description. All problems that are not reported in this way get
    /// the same placeholder, which no error ends with.
    pub(crate) fn expectation(self) -> &'static str {
        match self {
            FieldProblem::NotAString => "a string",
            FieldProblem::NotAList => "a list",
            FieldProblem::ElementNotAnObject => "a list of objects",
            FieldProblem::NotAnObject => "an object",
            _ => "another value",
        }
    }

    /// Returns the problem that the text of a deserializer's error stands for. `serde_json` keeps
    /// only the text of an error, which is one of two:
    ///
    /// - if a visitor found a value of a wrong type, the text quotes the value and ends with
    ///   `, expected ` and the visitor's expectation. The value may contain the same words, so the
    ///   last occurrence counts;
    /// - otherwise, the text is that of the problem itself.
    fn from_error_text(text: &str) -> FieldProblem {
        let mut problems = FieldProblem::REPORTED_BY_DESERIALIZERS.into_iter();
        let reported = match text.rsplit_once(", expected ") {
            Some((_, expectation)) => problems.find(|problem| problem.expectation() == expectation),
            None => problems.find(|problem| problem.to_string() == text),
        };
        reported.unwrap_or(FieldProblem::Malformed)
    }
}

impl FieldError {
    /// Creates an error about the field `field` of the object `object`.
    #[must_use]
    pub fn new(object: &str, field: &str, problem: FieldProblem) -> Self {
        FieldError {
            object: object.to_owned(),
            field: field.to_owned(),
            problem,
        }
    }

    /// Converts the error of a deserializer, which includes the path from the outermost object to
    /// the faulty field. Errors call the outermost object `root`.
    pub(crate) fn from_path_error(
        root: &str,
        error: &serde_path_to_error::Error<serde_json::Error>,
    ) -> Self {
        let mut names = vec![root];
        for segment in error.path() {
            // The index of a list element is left out: an element is called by the name of the
            // field that holds the list.
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
        FieldError::new(object, field, FieldProblem::from_error_text(&text))
    }
}

/// Returns the name of the absent field if `text` is `serde`'s error about one. The path of such an
/// error ends at the object that lacks the field, so only the text names the field.
fn absent_field(text: &str) -> Option<&str> {
    text.strip_prefix("missing field `")?.strip_suffix('`')
}
