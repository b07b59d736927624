//! Reasons why a frame is invalid.

use crate::broker::MAX_RESPONSE_LINE_LEN;
use thiserror::Error;

/// Reason why a frame cannot be decoded. The start of the next frame is unknown afterwards, so the
/// connection must be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum InvalidFrame {
    /// The length is zero or greater than the receiver accepts.
    #[error("its length is out of bounds")]
    LengthOutOfBounds,
    /// The kind is unknown, or the receiver does not accept frames of this kind.
    #[error("its kind is unknown")]
    UnknownKind,
    /// A part of the frame that must be text is not UTF-8.
    #[error("it is not UTF-8")]
    NotUtf8,
    /// The value of a response contains a NUL byte. Values are text without this byte, but each
    /// frame starts with it: a response with a length that is too great takes in the start of the
    /// next one.
    #[error("its value contains a NUL byte")]
    NulInValue,
    /// The first line of a response is longer than [`MAX_RESPONSE_LINE_LEN`], or its frame contains
    /// no line feed.
    #[error("its first line is longer than {MAX_RESPONSE_LINE_LEN} bytes or has no line feed")]
    UnterminatedResponseLine,
    /// The first line of a response has fewer than four fields.
    #[error("its first line has fewer than four fields")]
    ResponseFieldsMissing,
    /// The status of a response is unknown.
    #[error("its status is unknown")]
    UnknownStatus,
    /// The score of a response is not a number.
    #[error("its score is not a number")]
    InvalidScore,
    /// A call has no parts.
    #[error("a call has no parts")]
    EmptyCall,
    /// The line of a part in a call has no line feed before the end of the frame.
    #[error("the line of a part does not end")]
    UnterminatedPartLine,
    /// The line of a part in a call does not have exactly four fields.
    #[error("the line of a part does not have four fields")]
    PartFieldCount,
    /// A field in the line of a part that must be a number cannot be parsed.
    #[error("a number of a part is malformed")]
    InvalidNumber,
    /// The length given for the text of a part is greater than the rest of the frame.
    #[error("the text of a part is truncated")]
    TruncatedText,
    /// The options of a part contain an unknown or malformed option.
    #[error("the options of a part are malformed")]
    InvalidPartOptions,
}
