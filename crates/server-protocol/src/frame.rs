//! Structure of a frame: its length, its kind and its payload.

use crate::InvalidFrame;

/// Size of the length field, which each frame starts with, in bytes.
pub(crate) const LENGTH_SIZE: usize = size_of::<u32>();
/// Size of the kind, in bytes. The length includes the kind and the payload.
const KIND_SIZE: usize = 1;

/// Kind of a frame, with the byte that represents it in the frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum FrameKind {
    /// Call: one or more parts of queries.
    Call = b'm',
    /// Cancellation of a part.
    Cancel = b'n',
    /// Health probe, or the response to one.
    HealthProbe = b'o',
    /// Load probe, or the response to one.
    LoadProbe = b'p',
    /// Response to a part.
    PartResponse = b'q',
    /// Notice that the server has rejected the previous frame.
    Rejection = b'r',
}

impl FrameKind {
    const ALL: [FrameKind; 6] = [
        FrameKind::Call,
        FrameKind::Cancel,
        FrameKind::HealthProbe,
        FrameKind::LoadProbe,
        FrameKind::PartResponse,
        FrameKind::Rejection,
    ];

    /// Returns the kind that `byte` represents.
    ///
    /// # Errors
    ///
    /// [`InvalidFrame::UnknownKind`] if `byte` represents no kind.
    fn from_wire(byte: u8) -> Result<Self, InvalidFrame> {
        let mut kinds = FrameKind::ALL.into_iter();
        let kind = kinds.find(|kind| *kind as u8 == byte);
        kind.ok_or(InvalidFrame::UnknownKind)
    }
}

/// Encodes a frame.
pub(crate) fn encode(kind: FrameKind, payload: &[u8]) -> Vec<u8> {
    let body_len = KIND_SIZE + payload.len();
    let mut frame = Vec::with_capacity(LENGTH_SIZE + body_len);
    frame.extend((body_len as u32).to_be_bytes());
    frame.push(kind as u8);
    frame.extend(payload);
    frame
}

/// A frame of which at least the length has arrived.
pub(crate) struct PartialFrame<'a> {
    /// Length of kind and payload, in bytes; at least 1.
    body_len: usize,
    /// The input after the length. It may be shorter than the body, or continue after the body.
    input: &'a [u8],
}

impl<'a> PartialFrame<'a> {
    /// Reads the length of the frame at the start of `input`. Returns `Ok(None)` if the length has
    /// not arrived completely.
    ///
    /// # Errors
    ///
    /// [`InvalidFrame::LengthOutOfBounds`] if the length is zero or greater than `max_body_len`, or
    /// if the bytes of it that have arrived already make it greater.
    pub(crate) fn parse(
        input: &'a [u8],
        max_body_len: usize,
    ) -> Result<Option<Self>, InvalidFrame> {
        if min_body_len(input) > max_body_len {
            return Err(InvalidFrame::LengthOutOfBounds);
        }
        let Some((length, input)) = input.split_first_chunk::<LENGTH_SIZE>() else {
            return Ok(None);
        };
        let body_len = u32::from_be_bytes(*length) as usize;
        if body_len == 0 {
            return Err(InvalidFrame::LengthOutOfBounds);
        }
        Ok(Some(PartialFrame { body_len, input }))
    }

    /// Returns the kind of the frame, or `Ok(None)` if it has not arrived.
    ///
    /// # Errors
    ///
    /// [`InvalidFrame::UnknownKind`] if the byte that has arrived represents no kind.
    pub(crate) fn kind(&self) -> Result<Option<FrameKind>, InvalidFrame> {
        let byte = self.input.first().copied();
        byte.map(FrameKind::from_wire).transpose()
    }

    /// Returns the payload, or `None` if it has not arrived completely.
    pub(crate) fn payload(&self) -> Option<&'a [u8]> {
        self.input.get(KIND_SIZE..self.body_len)
    }

    /// Returns the bytes of the input after the kind. They may go beyond the end of the payload.
    pub(crate) fn received(&self) -> &'a [u8] {
        self.input.get(KIND_SIZE..).unwrap_or_default()
    }

    /// Returns the length of the whole frame, in bytes.
    pub(crate) fn frame_len(&self) -> usize {
        LENGTH_SIZE + self.body_len
    }
}

/// Returns the smallest length that a frame can have whose first bytes are `input`. This is its
/// length if the length has arrived completely.
fn min_body_len(input: &[u8]) -> usize {
    let arrived = input.len().min(LENGTH_SIZE);
    let mut length = [0; LENGTH_SIZE];
    length[..arrived].copy_from_slice(&input[..arrived]);
    u32::from_be_bytes(length) as usize
}

/// Returns bytes of a frame as text.
///
/// # Errors
///
/// [`InvalidFrame::NotUtf8`] if the bytes are not UTF-8.
pub(crate) fn utf8(bytes: &[u8]) -> Result<&str, InvalidFrame> {
    std::str::from_utf8(bytes).map_err(|_| InvalidFrame::NotUtf8)
}

/// Returns the first line and the bytes after it, both without the line feed between them. Returns
/// `None` if there is no line feed.
pub(crate) fn split_line(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let line_feed = bytes.iter().position(|byte| *byte == b'\n')?;
    Some((&bytes[..line_feed], &bytes[line_feed + 1..]))
}
