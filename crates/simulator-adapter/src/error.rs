//! Errors in the input.

use std::fmt;
use std::io;
use thiserror::Error;
use wire_fields::FieldError;

/// Why a line cannot be processed.
#[derive(Debug, Error)]
pub(crate) enum MessageError {
    /// Standard input failed.
    #[error("cannot be read: {0}")]
    Unreadable(io::Error),
    /// Standard output failed.
    #[error("{0}")]
    Unwritable(io::Error),
    /// The line is not JSON.
    #[error("not JSON: {0}")]
    NotJson(serde_json::Error),
    /// The line is a JSON value that is not an object.
    #[error("the message is not an object")]
    NotAnObject,
    /// The message does not say what it is.
    #[error("message: field t is missing or not a string")]
    MissingType,
    /// A batch begins before the end of the one before.
    #[error("Tick: the batch before is still open")]
    BatchStillOpen,
    /// A message stands outside of all batches.
    #[error("{message}: no batch is open")]
    NoOpenBatch {
        /// Type of the message.
        message: String,
    },
    /// The type of the message is unknown.
    #[error("{message}: the message is unknown")]
    UnknownMessage {
        /// Type of the message.
        message: String,
    },
    /// The message is for an instance that does not exist.
    #[error("{message}: field I names an instance that was never launched")]
    UnknownInstance {
        /// Type of the message.
        message: String,
    },
    /// An endpoint list update refers to a list that does not exist.
    #[error("PeersKnown: field Slot names a list that was never declared")]
    UnknownEndpointList,
    /// A query or part is of a class that does not exist.
    #[error("Order: field Service names no class")]
    UnknownClass,
    /// A field of the message is missing or invalid.
    #[error(transparent)]
    Field(#[from] FieldError),
}

/// An error in the input with its place.
#[derive(Debug, Error)]
pub(crate) struct InputError {
    /// Number of the line, from 1.
    pub(crate) line: usize,
    /// Number of the last batch that began, if any did.
    pub(crate) batch: Option<u64>,
    /// What is wrong with the line.
    pub(crate) error: MessageError,
}

impl fmt::Display for InputError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, batch ", self.line)?;
        match self.batch {
            Some(batch) => write!(f, "{batch}")?,
            None => write!(f, "null")?,
        }
        write!(f, ": {}", self.error)
    }
}
