//! Errors that end the run: invalid input, and failures to read input or write output. Their texts
//! name the message and the field. They quote no value except the message type.

use std::fmt;
use std::io;
use thiserror::Error;
use wire_fields::FieldError;

/// The reason why a line of input cannot be processed.
#[derive(Debug, Error)]
pub(crate) enum MessageError {
    /// Reading from standard input failed.
    #[error("cannot read standard input: {0}")]
    Unreadable(io::Error),
    /// Writing to standard output failed.
    #[error("cannot write to standard output: {0}")]
    Unwritable(io::Error),
    /// The line is not JSON.
    #[error("the line is not JSON: {0}")]
    NotJson(serde_json::Error),
    /// The line is a JSON value that is not an object.
    #[error("the line is JSON but not an object")]
    NotAnObject,
    /// The message has no type.
    #[error("message: field t (the message type) is missing, null or not a string")]
    MissingType,
    /// A batch begins before the previous one has ended.
    #[error("Tick: the previous batch has not ended, expected EofBatch first")]
    BatchStillOpen,
    /// A message other than the beginning of a batch arrives while no batch is open.
    #[error("{message}: no batch is open, expected Tick first")]
    NoOpenBatch {
        /// Type of the message.
        message: String,
    },
    /// The protocol has no message of this type.
    #[error("{message}: the message type is unknown")]
    UnknownMessage {
        /// Type of the message.
        message: String,
    },
    /// The message is for an instance that does not exist, or no longer exists.
    #[error("{message}: field I names an instance that was never launched or has been destroyed")]
    UnknownInstance {
        /// Type of the message.
        message: String,
    },
    /// An endpoint list update refers to a slot for which no list was declared.
    #[error("PeersKnown: field Slot names a slot whose list was never declared by a Ledger")]
    UnknownEndpointList,
    /// The class in an arrival is not in the settings of the instance. Queries and parts arrive in
    /// the same type of message, `Order`, so the text does not distinguish them.
    #[error("Order: field Service is not the index of a class in the instance's settings")]
    UnknownClass,
    /// A field of the message is missing or invalid.
    #[error(transparent)]
    Field(#[from] FieldError),
}

/// An error with the line at which it occurred.
#[derive(Debug, Error)]
pub(crate) struct InputError {
    /// Number of the line, counted from 1.
    pub(crate) line: usize,
    /// Number of the last batch that began at or before the line; `None` if none did.
    pub(crate) batch: Option<u64>,
    /// What is wrong with the line.
    pub(crate) error: MessageError,
}

impl fmt::Display for InputError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}, ", self.line)?;
        match self.batch {
            Some(batch) => write!(f, "batch {batch}")?,
            None => write!(f, "before the first batch")?,
        }
        write!(f, ": {}", self.error)
    }
}
