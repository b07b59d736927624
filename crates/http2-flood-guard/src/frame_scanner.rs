//! Finds the frame headers in the bytes of a connection (RFC 9113, section 4.1).

use crate::frame::{FRAME_HEADER_BYTES, FrameHeader};
use crate::violation::Violation;

/// The connection preface of a client (RFC 9113, section 3.4).
pub const PREFACE: &[u8; 24] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// Most bytes that are searched for the end of an HTTP/1 method. No registered method is nearly as
/// long.
const MAX_METHOD_BYTES: usize = 64;

/// Position within the bytes of a connection.
#[derive(Debug)]
pub(crate) enum FrameScanner {
    /// Within the connection preface.
    Preface {
        /// Bytes of it that have arrived.
        received: usize,
    },
    /// Within a frame header, or between two frames.
    Header {
        /// The header's bytes that have arrived, followed by zeros.
        bytes: [u8; FRAME_HEADER_BYTES],
        /// How many have arrived.
        received: usize,
    },
    /// Within a frame's payload.
    Payload {
        /// Bytes of it that are missing.
        remaining: u32,
    },
}

/// Result of one step of a [`FrameScanner`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Scanned {
    /// Bytes of the input that were used.
    pub(crate) consumed: usize,
    /// The frame header that ended there, if any.
    pub(crate) frame: Option<FrameHeader>,
}

impl Scanned {
    fn without_frame(consumed: usize) -> Self {
        Scanned {
            consumed,
            frame: None,
        }
    }
}

impl Default for FrameScanner {
    fn default() -> Self {
        FrameScanner::Preface { received: 0 }
    }
}

impl FrameScanner {
    /// The position between two frames.
    const BETWEEN_FRAMES: FrameScanner = FrameScanner::Header {
        bytes: [0; FRAME_HEADER_BYTES],
        received: 0,
    };

    /// Scans at least one of the given bytes, up to the end of the current element.
    pub(crate) fn scan(&mut self, input: &[u8]) -> Result<Scanned, Violation> {
        match self {
            FrameScanner::Preface { received } => {
                let missing = &PREFACE[*received..];
                let consumed = input.len().min(missing.len());
                if input[..consumed] != missing[..consumed] {
                    return Err(preface_violation(*received, input));
                }
                *received += consumed;
                if *received == PREFACE.len() {
                    *self = FrameScanner::BETWEEN_FRAMES;
                }
                Ok(Scanned::without_frame(consumed))
            }
            FrameScanner::Header { bytes, received } => {
                let consumed = input.len().min(FRAME_HEADER_BYTES - *received);
                bytes[*received..*received + consumed].copy_from_slice(&input[..consumed]);
                *received += consumed;
                if *received < FRAME_HEADER_BYTES {
                    return Ok(Scanned::without_frame(consumed));
                }
                let frame = FrameHeader::decode(bytes);
                *self = FrameScanner::payload(frame.payload_bytes);
                Ok(Scanned {
                    consumed,
                    frame: Some(frame),
                })
            }
            FrameScanner::Payload { remaining } => {
                let consumed = input.len().min(*remaining as usize);
                *self = FrameScanner::payload(*remaining - consumed as u32);
                Ok(Scanned::without_frame(consumed))
            }
        }
    }

    /// The position before the given number of payload bytes.
    fn payload(remaining: u32) -> Self {
        if remaining > 0 {
            FrameScanner::Payload { remaining }
        } else {
            FrameScanner::BETWEEN_FRAMES
        }
    }

    pub(crate) fn is_between_frames(&self) -> bool {
        matches!(self, FrameScanner::Header { received: 0, .. })
    }
}

/// Classifies bytes that deviate from the preface: a method in capitals and a space start a request
/// of HTTP/1.
fn preface_violation(received: usize, input: &[u8]) -> Violation {
    let start = PREFACE[..received]
        .iter()
        .chain(input.iter().take(MAX_METHOD_BYTES));
    let is_method_char = |b: &u8| b.is_ascii_uppercase() || *b == b'-' || *b == b'_';
    let is_method = start.take_while(|b| **b != b' ').all(is_method_char);
    let starts_with_letter = received > 0 || input.first().is_some_and(u8::is_ascii_uppercase);
    if is_method && starts_with_letter {
        Violation::Http1Request
    } else {
        Violation::InvalidPreface
    }
}
