//! Errors in an operator's file: what is wrong, where, and what would be right.

use crate::MAX_FILE_BYTES;
use crate::values::InvalidValue;
use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode};
use std::fmt;
use std::ops::Range;
use std::sync::Arc;
use thiserror::Error;

/// Longest part of a word from the file that a message quotes, in characters.
const MAX_QUOTED_CHARS: usize = 64;

/// What is wrong at one place of a file. The message quotes the word; [`ErrorKind::expected`] says what is right.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ErrorKind {
    /// The file is longer than [`MAX_FILE_BYTES`].
    #[error("the file holds {bytes} bytes")]
    FileTooLong {
        /// Length of the text, in bytes.
        bytes: usize,
    },
    /// A line begins with a word that is no keyword.
    #[error("unknown keyword {}", quote(.keyword))]
    UnknownKeyword {
        /// The word as it stands in the file.
        keyword: String,
        /// The keyword that was probably meant.
        nearest: Option<&'static str>,
    },
    /// A keyword stands on a second line.
    #[error("{keyword} is given twice")]
    RepeatedKeyword {
        /// Name of the keyword.
        keyword: &'static str,
        /// Line where the keyword stands first, from 1.
        first_line: usize,
    },
    /// A keyword stands alone.
    #[error("{keyword} lacks its argument")]
    MissingArgument {
        /// Name of the keyword.
        keyword: &'static str,
        /// Description of its argument.
        argument: &'static str,
    },
    /// A keyword has a second argument.
    #[error("{} is one too many for {keyword}", quote(.surplus))]
    SurplusArgument {
        /// Name of the keyword.
        keyword: &'static str,
        /// Description of its argument.
        argument: &'static str,
        /// The second argument as it stands in the file.
        surplus: String,
    },
    /// An argument is not of the keyword's type or out of its bounds.
    #[error("{} is no argument for {keyword}", quote(.argument))]
    InvalidArgument {
        /// Name of the keyword.
        keyword: &'static str,
        /// The argument as it stands in the file.
        argument: String,
        /// What an argument must be.
        expected: InvalidValue,
    },
    /// A keyword has an effect only beside another one, which is absent.
    #[error("{keyword} says something of what is not there")]
    MissingRequirement {
        /// Name of the keyword.
        keyword: &'static str,
        /// Name of the absent keyword.
        requires: &'static str,
    },
}

impl ErrorKind {
    /// What would be right, where that is known.
    #[must_use]
    pub fn expected(&self) -> Option<String> {
        match self {
            ErrorKind::FileTooLong { .. } => Some(format!("expected {MAX_FILE_BYTES} at most")),
            ErrorKind::UnknownKeyword { nearest, .. } => {
                nearest.map(|keyword| format!("did you mean {keyword}?"))
            }
            ErrorKind::RepeatedKeyword { first_line, .. } => {
                Some(format!("it stands on line {first_line}"))
            }
            ErrorKind::MissingArgument { argument, .. } => Some(format!("expected {argument}")),
            ErrorKind::SurplusArgument { argument, .. } => {
                Some(format!("expected {argument} and no more"))
            }
            ErrorKind::InvalidArgument { expected, .. } => Some(expected.to_string()),
            ErrorKind::MissingRequirement { requires, .. } => Some(format!("it needs {requires}")),
        }
    }
}

/// One error in a file, with its place.
///
/// Printed, it is one line: file, line, column, what is wrong and what would be right. As a [`Diagnostic`] it also
/// shows the line of the file.
#[derive(Clone, Debug)]
pub struct ConfigFileError {
    pub(crate) file: Arc<NamedSource<String>>,
    /// The faulty word, as a range of bytes of the text.
    pub span: Range<usize>,
    /// Line of the word, from 1.
    pub line: usize,
    /// Column of the word, in characters from 1.
    pub column: usize,
    /// What is wrong.
    pub kind: ErrorKind,
}

impl fmt::Display for ConfigFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = self.file.name();
        write!(f, "{file}:{}:{}: {}", self.line, self.column, self.kind)?;
        match self.kind.expected() {
            Some(expected) => write!(f, "; {expected}"),
            None => Ok(()),
        }
    }
}

impl std::error::Error for ConfigFileError {}

impl Diagnostic for ConfigFileError {
    fn help<'a>(&'a self) -> Option<Box<dyn fmt::Display + 'a>> {
        let expected = self.kind.expected()?;
        Some(Box::new(expected))
    }

    fn source_code(&self) -> Option<&dyn SourceCode> {
        Some(&self.file)
    }

    fn labels(&self) -> Option<Box<dyn Iterator<Item = LabeledSpan> + '_>> {
        let label = LabeledSpan::new(Some("here".to_owned()), self.span.start, self.span.len());
        Some(Box::new(std::iter::once(label)))
    }
}

/// All errors in a file, in the order of their places. Printed, it is one line an error.
#[derive(Clone, Debug)]
pub struct ConfigFileErrors {
    /// The errors; there is at least one.
    pub errors: Vec<ConfigFileError>,
}

impl fmt::Display for ConfigFileErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.errors.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}

impl std::error::Error for ConfigFileErrors {}

/// The text of a file with its name; makes errors for its places.
pub(crate) struct SourceText<'a> {
    text: &'a str,
    file: Arc<NamedSource<String>>,
}

impl<'a> SourceText<'a> {
    pub(crate) fn new(name: &str, text: &'a str) -> Self {
        SourceText {
            text,
            file: Arc::new(NamedSource::new(name, text.to_owned())),
        }
    }

    /// The error of this kind at a range of bytes.
    pub(crate) fn error(&self, span: &Range<usize>, kind: ErrorKind) -> ConfigFileError {
        ConfigFileError {
            file: self.file.clone(),
            span: span.clone(),
            line: self.line(span.start),
            column: self.column(span.start),
            kind,
        }
    }

    /// Line of a byte, from 1.
    pub(crate) fn line(&self, offset: usize) -> usize {
        self.text[..offset].matches('\n').count() + 1
    }

    /// Column of a byte, in characters from 1.
    fn column(&self, offset: usize) -> usize {
        let before = &self.text[..offset];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        before[line_start..].chars().count() + 1
    }
}

/// A word from the file in a form that is safe in a line of a log: cut short, and escaped where it is not plain.
fn quote(word: &str) -> String {
    let short: String = word.chars().take(MAX_QUOTED_CHARS).collect();
    let is_plain = short.chars().all(|c| c.is_ascii_graphic() && c != '"');
    if is_plain && !short.is_empty() {
        short
    } else {
        format!("{short:?}")
    }
}
