//! Error type of the decoders.

use thiserror::Error;

/// Reason why a message cannot be decoded.
///
/// The decoder stops at the error without finding the end of the message. The next message on the
/// connection can therefore not be decoded, and the connection has to be closed (RFC 9112, section
/// 6.3). The text of an error in a request is sent to the client.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum ParseError {
    /// The start line or a field line violates the grammar (RFC 9112, sections 2.2, 3 and 5).
    #[error("the head is malformed")]
    MalformedHead,
    /// The version is not HTTP/1.x (section 2.3). HTTP/1.0 is accepted, although the text names
    /// only HTTP/1.1. The connection preface of HTTP/2 also causes this error.
    #[error("the version is not HTTP/1.1")]
    UnsupportedVersion,
    /// The request line is too long (section 3).
    #[error("the request line is too long")]
    RequestLineTooLong,
    /// The request target has none of the four forms, or one that the method does not allow
    /// (section 3.2).
    #[error("the request target is malformed")]
    InvalidTarget,
    /// `Host` is missing, repeated or malformed (section 3.2).
    #[error("Host is missing, given twice or malformed")]
    InvalidHost,
    /// The method is CONNECT, which is not implemented (RFC 9110, section 9.3.6).
    #[error("CONNECT is not offered")]
    ConnectNotSupported,
    /// The head is too long, or has too many fields (section 5).
    #[error("the head is too long")]
    HeadTooLong,
    /// `Content-Length` is malformed, repeated, or accompanies a transfer coding (sections 6.2 and
    /// 6.3).
    #[error("the length is malformed, given twice or beside a transfer coding")]
    InvalidContentLength,
    /// The transfer codings do not end in exactly one `chunked`, or a message of HTTP/1.0, which
    /// has no transfer codings, declares one (section 6.1).
    #[error("the transfer codings do not end in chunked")]
    InvalidTransferCoding,
    /// A transfer coding before `chunked` is not implemented (section 6.1).
    #[error("the transfer coding is unknown")]
    UnknownTransferCoding,
    /// A request whose method implies a body declares no length (section 6.3).
    #[error("the body has no length")]
    LengthRequired,
    /// The body is longer than [`Limits::body_bytes`](crate::Limits::body_bytes).
    #[error("the body is too long")]
    BodyTooLong,
    /// A chunk is malformed (section 7.1).
    #[error("a chunk is malformed")]
    MalformedChunk,
    /// The trailer section is malformed or too long (section 7.1.2).
    #[error("the trailer is malformed or too long")]
    MalformedTrailer,
}

impl ParseError {
    /// Returns the status code of the response that reports this error to a client.
    #[must_use]
    pub fn status(self) -> u16 {
        match self {
            ParseError::LengthRequired => 411,
            ParseError::BodyTooLong => 413,
            ParseError::RequestLineTooLong => 414,
            ParseError::HeadTooLong => 431,
            ParseError::ConnectNotSupported | ParseError::UnknownTransferCoding => 501,
            ParseError::UnsupportedVersion => 505,
            ParseError::MalformedHead
            | ParseError::InvalidTarget
            | ParseError::InvalidHost
            | ParseError::InvalidContentLength
            | ParseError::InvalidTransferCoding
            | ParseError::MalformedChunk
            | ParseError::MalformedTrailer => 400,
        }
    }
}
