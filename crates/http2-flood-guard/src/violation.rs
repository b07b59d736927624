//! The violations that the flood guard reports.

use crate::frame::FrameKind;
use thiserror::Error;

/// What a client did wrong on a connection. The owner of the connection has to close it.
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
