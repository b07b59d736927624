//! Encoder and decoder of HTTP/2 frames (RFC 9113, section 4.1).

/// Type of DATA frames.
pub const DATA: u8 = 0;
/// Type of HEADERS frames.
pub const HEADERS: u8 = 1;
/// Type of `RST_STREAM` frames.
pub const RST_STREAM: u8 = 3;
/// Type of SETTINGS frames.
pub const SETTINGS: u8 = 4;
/// Type of PING frames.
pub const PING: u8 = 6;
/// Type of GOAWAY frames.
pub const GOAWAY: u8 = 7;
/// Type of `WINDOW_UPDATE` frames.
pub const WINDOW_UPDATE: u8 = 8;
/// Type of CONTINUATION frames.
pub const CONTINUATION: u8 = 9;
/// Flag of DATA and HEADERS: the sender sends nothing more on the stream.
pub const END_STREAM: u8 = 1;
/// Flag of HEADERS and CONTINUATION: the frame is the last one of its field block.
pub const END_HEADERS: u8 = 4;

/// Length of a frame's header: three bytes for the length of the payload, one for the type, one for
/// the flags, and four for the stream id.
const HEADER_BYTES: usize = 9;

/// A received frame.
#[derive(Clone, Debug, PartialEq)]
pub struct Frame {
    /// Type of the frame, for example [`DATA`].
    pub frame_type: u8,
    /// Flags of the frame, for example [`END_STREAM`].
    pub flags: u8,
    /// Id of the stream, or 0 if the frame applies to the connection.
    pub stream_id: u32,
    /// Bytes after the frame's header.
    pub payload: Vec<u8>,
}

impl Frame {
    /// Removes and returns the first frame of the received bytes, if it is complete.
    pub(super) fn take_from(input: &mut Vec<u8>) -> Option<Frame> {
        let header: [u8; HEADER_BYTES] = input.get(..HEADER_BYTES)?.try_into().ok()?;
        let [length_0, length_1, length_2, frame_type, flags, id @ ..] = header;
        let payload_len = u32::from_be_bytes([0, length_0, length_1, length_2]) as usize;
        let payload = input
            .get(HEADER_BYTES..HEADER_BYTES + payload_len)?
            .to_vec();
        input.drain(..HEADER_BYTES + payload_len);
        Some(Frame {
            frame_type,
            flags,
            stream_id: u32::from_be_bytes(id),
            payload,
        })
    }

    /// Returns the error code of an `RST_STREAM` or GOAWAY frame.
    ///
    /// # Panics
    ///
    /// Panics if the payload is too short to contain one.
    #[must_use]
    pub fn error_code(&self) -> u32 {
        // In GOAWAY the four bytes of the last stream id precede the error code.
        let offset = if self.frame_type == GOAWAY { 4 } else { 0 };
        self.payload_u32(offset)
    }

    /// Returns the last stream id of a GOAWAY frame.
    ///
    /// # Panics
    ///
    /// Panics if the payload is too short to contain one.
    #[must_use]
    pub fn last_stream_id(&self) -> u32 {
        self.payload_u32(0)
    }

    /// Returns the big-endian number at this offset of the payload.
    fn payload_u32(&self, offset: usize) -> u32 {
        let bytes = self.payload.get(offset..).and_then(<[u8]>::first_chunk);
        let bytes = bytes.unwrap_or_else(|| {
            panic!("expected a number of four bytes at offset {offset} of the payload of {self:?}")
        });
        u32::from_be_bytes(*bytes)
    }
}

/// Encodes a frame.
#[must_use]
pub fn encode_frame(frame_type: u8, flags: u8, stream_id: u32, payload: &[u8]) -> Vec<u8> {
    let mut bytes = (payload.len() as u32).to_be_bytes()[1..].to_vec();
    bytes.extend([frame_type, flags]);
    bytes.extend(stream_id.to_be_bytes());
    bytes.extend(payload);
    bytes
}
