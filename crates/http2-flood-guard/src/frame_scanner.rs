//! Finds the frame headers in the bytes of a connection (RFC 9113, section 4.1).

use crate::violation::Violation;
use std::fmt;

/// The connection preface of a client (RFC 9113, section 3.4).
pub const PREFACE: &[u8; 24] = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n";
/// Length of a frame header, in bytes (RFC 9113, section 4.1).
const FRAME_HEADER_BYTES: usize = 9;
/// Most bytes that are searched for the end of an HTTP/1 method. No registered method is nearly as long.
const MAX_METHOD_BYTES: usize = 64;
/// `END_STREAM` of DATA and HEADERS (RFC 9113, sections 6.1 and 6.2).
const FLAG_END_STREAM: u8 = 0x1;
/// ACK of SETTINGS and PING (RFC 9113, sections 6.5 and 6.7).
const FLAG_ACK: u8 = 0x1;
/// `END_HEADERS` of HEADERS and CONTINUATION (RFC 9113, sections 6.2 and 6.10).
const FLAG_END_HEADERS: u8 = 0x4;

/// Type of a frame (RFC 9113, section 6).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FrameKind {
    /// DATA (section 6.1).
    Data,
    /// HEADERS (section 6.2).
    Headers,
    /// PRIORITY (section 6.3).
    Priority,
    /// `RST_STREAM` (section 6.4).
    ResetStream,
    /// SETTINGS (section 6.5).
    Settings,
    /// PING (section 6.7).
    Ping,
    /// GOAWAY (section 6.8).
    GoAway,
    /// `WINDOW_UPDATE` (section 6.9).
    WindowUpdate,
    /// CONTINUATION (section 6.10).
    Continuation,
    /// An unknown type, which a receiver ignores (section 5.5), or `PUSH_PROMISE`, which a client must not send
    /// (section 8.4).
    Other,
}

impl FrameKind {
    /// The kind for the type field of a frame header (RFC 9113, section 11.2).
    fn from_type(frame_type: u8) -> Self {
        match frame_type {
            0 => FrameKind::Data,
            1 => FrameKind::Headers,
            2 => FrameKind::Priority,
            3 => FrameKind::ResetStream,
            4 => FrameKind::Settings,
            6 => FrameKind::Ping,
            7 => FrameKind::GoAway,
            8 => FrameKind::WindowUpdate,
            9 => FrameKind::Continuation,
            _ => FrameKind::Other,
        }
    }
}

/// The name as log events and errors print it. DATA is printed as empty, because no other DATA frame is limited.
impl fmt::Display for FrameKind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            FrameKind::Data => "empty DATA",
            FrameKind::Headers => "HEADERS",
            FrameKind::Priority => "PRIORITY",
            FrameKind::ResetStream => "RST_STREAM",
            FrameKind::Settings => "SETTINGS",
            FrameKind::Ping => "PING",
            FrameKind::GoAway => "GOAWAY",
            FrameKind::WindowUpdate => "WINDOW_UPDATE",
            FrameKind::Continuation => "CONTINUATION",
            FrameKind::Other => "unknown frames",
        })
    }
}

/// The header of a frame, without its stream identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct FrameHeader {
    pub(crate) kind: FrameKind,
    /// Length of the payload, in bytes.
    pub(crate) payload_bytes: u32,
    flags: u8,
}

impl FrameHeader {
    fn decode(bytes: &[u8; FRAME_HEADER_BYTES]) -> Self {
        FrameHeader {
            kind: FrameKind::from_type(bytes[3]),
            payload_bytes: u32::from_be_bytes([0, bytes[0], bytes[1], bytes[2]]),
            flags: bytes[4],
        }
    }

    /// Whether a DATA or HEADERS frame is the last one of its stream's request.
    pub(crate) fn ends_stream(&self) -> bool {
        self.flags & FLAG_END_STREAM != 0
    }

    /// Whether a HEADERS or CONTINUATION frame is the last one of its header block.
    pub(crate) fn ends_headers(&self) -> bool {
        self.flags & FLAG_END_HEADERS != 0
    }

    /// Whether a SETTINGS or PING frame is an acknowledgement.
    pub(crate) fn is_ack(&self) -> bool {
        self.flags & FLAG_ACK != 0
    }
}

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

/// Classifies bytes that deviate from the preface: a method in capitals and a space start a request of HTTP/1.
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
