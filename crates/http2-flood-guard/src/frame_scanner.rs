//! Finds the frame headers in the bytes of a connection (RFC 9113, section 4.1).

use crate::frame::{FRAME_HEADER_BYTES, FrameHeader};
use crate::violation::Violation;

/// The bytes with which the connection preface of a client starts (RFC 9113, section 3.4). A
/// SETTINGS frame follows them.
pub const PREFACE: &[u8; 24] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// Maximum number of bytes that are searched for the end of an HTTP/1 method, in addition to those
/// that match the preface. Every registered method is much shorter.
const MAX_METHOD_BYTES: usize = 64;

/// Position within the bytes of a connection.
#[derive(Debug)]
pub(crate) enum FrameScanner {
    /// Within the connection preface.
    Preface {
        /// Number of its bytes that have arrived.
        received: usize,
    },
    /// Within a frame header, or between two frames.
    Header {
        /// The header's bytes that have arrived, followed by zeros.
        bytes: [u8; FRAME_HEADER_BYTES],
        /// Number of the header's bytes that have arrived.
        received: usize,
    },
    /// Within a frame's payload.
    Payload {
        /// Number of payload bytes that have not arrived yet.
        remaining: u32,
    },
}

/// Result of one step of a [`FrameScanner`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ScanStep {
    /// Number of input bytes that were scanned.
    pub(crate) consumed: usize,
    /// The frame header that the scanned bytes complete, if any.
    pub(crate) frame: Option<FrameHeader>,
}

impl ScanStep {
    /// Creates the result of a step that did not complete a frame header.
    fn without_frame(consumed: usize) -> Self {
        ScanStep {
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

    /// Scans the given bytes up to the end of the current element: the preface, a frame header or a
    /// payload. At least one byte is scanned if `input` is not empty. Fails only if the bytes
    /// deviate from the preface.
    pub(crate) fn scan(&mut self, input: &[u8]) -> Result<ScanStep, Violation> {
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
                Ok(ScanStep::without_frame(consumed))
            }
            FrameScanner::Header { bytes, received } => {
                let consumed = input.len().min(FRAME_HEADER_BYTES - *received);
                bytes[*received..*received + consumed].copy_from_slice(&input[..consumed]);
                *received += consumed;
                if *received < FRAME_HEADER_BYTES {
                    return Ok(ScanStep::without_frame(consumed));
                }
                let frame = FrameHeader::decode(bytes);
                *self = FrameScanner::payload(frame.payload_bytes);
                Ok(ScanStep {
                    consumed,
                    frame: Some(frame),
                })
            }
            FrameScanner::Payload { remaining } => {
                let consumed = input.len().min(*remaining as usize);
                *self = FrameScanner::payload(*remaining - consumed as u32);
                Ok(ScanStep::without_frame(consumed))
            }
        }
    }

    /// Returns the position in front of the given number of payload bytes.
    fn payload(remaining: u32) -> Self {
        if remaining > 0 {
            FrameScanner::Payload { remaining }
        } else {
            FrameScanner::BETWEEN_FRAMES
        }
    }

    /// Returns whether no element is incomplete: the last frame has ended, and no byte of the next
    /// one has arrived.
    pub(crate) fn is_between_frames(&self) -> bool {
        matches!(self, FrameScanner::Header { received: 0, .. })
    }
}

/// Classifies a connection whose bytes deviate from the preface, where the first `received` bytes
/// matched it and `input` follows. A request of HTTP/1 starts with a method and a space, so the
/// connection counts as HTTP/1 if the bytes before the first space are characters of a method:
/// capital letters, hyphens and underscores, of which the first is a letter. Only the first
/// [`MAX_METHOD_BYTES`] of `input` are searched for the space; if they contain none, all of them must
/// be such characters.
fn preface_violation(received: usize, input: &[u8]) -> Violation {
    let start = PREFACE[..received]
        .iter()
        .chain(input.iter().take(MAX_METHOD_BYTES));
    let is_method_char = |b: &u8| b.is_ascii_uppercase() || *b == b'-' || *b == b'_';
    let is_method = start.take_while(|b| **b != b' ').all(is_method_char);
    // Bytes that match the preface start with its first letter.
    let starts_with_letter = received > 0 || input.first().is_some_and(u8::is_ascii_uppercase);
    if is_method && starts_with_letter {
        Violation::Http1Request
    } else {
        Violation::InvalidPreface
    }
}
