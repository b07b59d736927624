//! Reasons why a frame is invalid.

use thiserror::Error;

/// Reason why a frame cannot be decoded. Where the next frame begins is unknown, so the connection
/// is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidFrame {
    /// The length is zero, or more than the receiver accepts.
    #[error("its length is out of bounds")]
    LengthOutOfBounds,
    /// The receiver expects no frame of this kind.
    #[error("its kind is unknown")]
    UnknownKind,
    /// A text is not UTF-8.
    #[error("it is not UTF-8")]
    NotUtf8,
    /// The line of a response is longer than allowed, or does not end within its frame.
    #[error("its line does not end")]
    UnterminatedResponseLine,
    /// The line of a response has fewer than four fields.
    #[error("its line does not have four fields")]
    ResponseFieldsMissing,
    /// The status of a response is none of the known ones.
    #[error("its status is unknown")]
    UnknownStatus,
    /// The score of a response is not a number.
    #[error("its score is not a number")]
    InvalidScore,
    /// A call has no parts.
    #[error("a call has no parts")]
    EmptyCall,
    /// The line of a part in a call does not end within its frame.
    #[error("the line of a part does not end")]
    UnterminatedPartLine,
    /// The line of a part in a call does not have exactly four fields.
    #[error("the line of a part does not have four fields")]
    PartFieldCount,
    /// A number in the line of a part is not one.
    #[error("a number of a part is malformed")]
    InvalidNumber,
    /// The text of a part is longer than the rest of the frame.
    #[error("the text of a part is truncated")]
    TruncatedText,
    /// The list of options of a part has an unknown or malformed entry.
    #[error("the options of a part are malformed")]
    InvalidPartOptions,
}
