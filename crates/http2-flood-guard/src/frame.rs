//! Frame headers (RFC 9113, section 4.1).

use std::fmt;

/// Length of a frame header, in bytes (RFC 9113, section 4.1).
pub(crate) const FRAME_HEADER_BYTES: usize = 9;
/// Flag `END_STREAM` of DATA and HEADERS (RFC 9113, sections 6.1 and 6.2).
const FLAG_END_STREAM: u8 = 0x1;
/// Flag ACK of SETTINGS and PING (RFC 9113, sections 6.5 and 6.7).
const FLAG_ACK: u8 = 0x1;
/// Flag `END_HEADERS` of HEADERS and CONTINUATION (RFC 9113, sections 6.2 and 6.10).
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
    /// An unknown type, which a receiver ignores (section 5.5), or `PUSH_PROMISE`, which a client
    /// must not send (section 8.4).
    Other,
}

impl FrameKind {
    /// Returns the kind for the type field of a frame header (RFC 9113, section 11.2).
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

/// Writes the name that log events and errors print. DATA is printed as "empty DATA", because the
/// name appears only in reports of floods, and DATA frames that carry bytes are not limited.
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
    /// Decodes a complete frame header.
    pub(crate) fn decode(bytes: &[u8; FRAME_HEADER_BYTES]) -> Self {
        FrameHeader {
            kind: FrameKind::from_type(bytes[3]),
            payload_bytes: u32::from_be_bytes([0, bytes[0], bytes[1], bytes[2]]),
            flags: bytes[4],
        }
    }

    /// Returns whether a DATA or HEADERS frame ends the request of its stream. A HEADERS frame does
    /// so together with the CONTINUATION frames that complete its header block.
    pub(crate) fn ends_stream(&self) -> bool {
        self.flags & FLAG_END_STREAM != 0
    }

    /// Returns whether a HEADERS or CONTINUATION frame is the last one of its header block.
    pub(crate) fn ends_headers(&self) -> bool {
        self.flags & FLAG_END_HEADERS != 0
    }

    /// Returns whether a SETTINGS or PING frame is an acknowledgement.
    pub(crate) fn is_ack(&self) -> bool {
        self.flags & FLAG_ACK != 0
    }
}
