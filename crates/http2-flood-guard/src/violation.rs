//! Reasons for which a client's connection has to be closed.

use crate::frame::FrameKind;
use thiserror::Error;

/// Reason for which a client's connection has to be closed.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum Violation {
    /// The connection starts with an HTTP/1 request.
    #[error("it speaks HTTP/1")]
    Http1Request,
    /// The connection starts neither with the preface (RFC 9113, section 3.4) nor with an HTTP/1
    /// request.
    #[error("it does not begin with the preface")]
    InvalidPreface,
    /// The first frame after the preface is not SETTINGS (RFC 9113, section 3.4).
    #[error("its first frame is not SETTINGS")]
    MissingSettings,
    /// A frame of this kind arrived, and the connection had no token left for it.
    #[error("a flood of {0}")]
    Flood(FrameKind),
    /// A header block is longer than [`FloodLimits::max_header_block_bytes`](crate::FloodLimits).
    #[error("a header block without end")]
    HeaderBlockTooLong,
}
