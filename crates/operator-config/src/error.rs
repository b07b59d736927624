//! Errors in an operator's file, each with its position and a description of what was expected.

use crate::limits::MAX_FILE_BYTES;
use crate::values::InvalidValue;
use miette::{Diagnostic, LabeledSpan, NamedSource, SourceCode};
use std::fmt;
use std::ops::Range;
use std::sync::Arc;
use thiserror::Error;

/// Maximum number of characters that a message quotes from a token of the file.
const MAX_QUOTED_CHARS: usize = 64;

/// Kind of an error in a file. The message quotes the invalid token, and [`ErrorKind::expected`]
/// describes what was expected instead.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ErrorKind {
    /// The file is longer than [`MAX_FILE_BYTES`].
    #[error("the file is {bytes} bytes long")]
    FileTooLong {
        /// Length of the text, in bytes.
        bytes: usize,
    },
    /// A line starts with a token that is not a keyword.
    #[error("unknown keyword {}", quote(.keyword))]
    UnknownKeyword {
        /// The token as written in the file.
        keyword: String,
        /// Keyword that was probably meant, if one is similar.
        nearest: Option<&'static str>,
    },
    /// A keyword occurs on a second line.
    #[error("duplicate keyword {keyword}")]
    RepeatedKeyword {
        /// Name of the keyword.
        keyword: &'static str,
        /// Line number of the keyword's first occurrence, counted from 1.
        first_line: usize,
    },
    /// A keyword has no argument.
    #[error("{keyword} requires an argument")]
    MissingArgument {
        /// Name of the keyword.
        keyword: &'static str,
        /// Description of its argument.
        argument: &'static str,
    },
    /// A keyword has more than one argument.
    #[error("unexpected second argument {} for {keyword}", quote(.surplus))]
    SurplusArgument {
        /// Name of the keyword.
        keyword: &'static str,
        /// Description of its argument.
        argument: &'static str,
        /// The second argument as written in the file.
        surplus: String,
    },
    /// An argument has a wrong form or is out of bounds.
    #[error("invalid argument {} for {keyword}", quote(.argument))]
    InvalidArgument {
        /// Name of the keyword.
        keyword: &'static str,
        /// The argument as written in the file.
        argument: String,
        /// Description of valid arguments.
        expected: InvalidValue,
    },
    /// A keyword has no effect, because another keyword that it requires is absent from the file or
    /// does not have exactly one argument.
    #[error("{keyword} has no effect")]
    MissingRequirement {
        /// Name of the keyword.
        keyword: &'static str,
        /// Name of the required keyword.
        requires: &'static str,
    },
}

impl ErrorKind {
    /// Returns a text that helps to correct the error, in most cases what was expected; `None` if
    /// there is none.
    #[must_use]
    pub fn expected(&self) -> Option<String> {
        match self {
            ErrorKind::FileTooLong { .. } => {
                Some(format!("expected at most {MAX_FILE_BYTES} bytes"))
            }
            ErrorKind::UnknownKeyword { nearest, .. } => {
                nearest.map(|keyword| format!("did you mean {keyword}?"))
            }
            ErrorKind::RepeatedKeyword { first_line, .. } => {
                Some(format!("first given on line {first_line}"))
            }
            ErrorKind::MissingArgument { argument, .. } => Some(format!("expected {argument}")),
            ErrorKind::SurplusArgument { argument, .. } => {
                Some(format!("expected only {argument}"))
            }
            ErrorKind::InvalidArgument { expected, .. } => Some(expected.to_string()),
            ErrorKind::MissingRequirement { requires, .. } => {
                Some(format!("it requires {requires}"))
            }
        }
    }
}

/// An error in a file, with its position.
///
/// Its text is one line: file, line, column, the error and what was expected. As a [`Diagnostic`]
/// it also shows the line of the file.
#[derive(Clone, Debug)]
pub struct ConfigFileError {
    file: Arc<NamedSource<String>>,
    /// Position of the invalid token, as a range of bytes of the file's text.
    pub span: Range<usize>,
    /// Line number of the token, counted from 1.
    pub line: usize,
    /// Column of the token in characters, counted from 1.
    pub column: usize,
    /// Kind of the error.
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

/// All errors in a file, in the order of their positions. The text has one line per error.
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

/// The name and text of a file. Creates errors that point to positions in the text.
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

    /// Creates an error of this kind at `span`, a range of bytes of the text.
    pub(crate) fn error(&self, span: &Range<usize>, kind: ErrorKind) -> ConfigFileError {
        ConfigFileError {
            file: self.file.clone(),
            span: span.clone(),
            line: self.line(span.start),
            column: self.column(span.start),
            kind,
        }
    }

    /// Returns the line number of the byte at `offset`, counted from 1.
    pub(crate) fn line(&self, offset: usize) -> usize {
        self.text[..offset].matches('\n').count() + 1
    }

    /// Returns the column of the byte at `offset` in characters, counted from 1.
    fn column(&self, offset: usize) -> usize {
        let before = &self.text[..offset];
        let line_start = before.rfind('\n').map_or(0, |newline| newline + 1);
        before[line_start..].chars().count() + 1
    }
}

/// Returns a token of the file in a form that is safe in a log line: truncated to
/// [`MAX_QUOTED_CHARS`], and quoted with escapes if it is empty or contains a double quote or
/// anything but visible ASCII characters.
fn quote(token: &str) -> String {
    let short: String = token.chars().take(MAX_QUOTED_CHARS).collect();
    let is_plain = short.chars().all(|c| c.is_ascii_graphic() && c != '"');
    if is_plain && !short.is_empty() {
        short
    } else {
        format!("{short:?}")
    }
}
