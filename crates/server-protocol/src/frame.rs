//! The outer form of a frame: its length, its kind and its payload.

use crate::InvalidFrame;

/// Size of the length that precedes each frame, in bytes.
const LENGTH_SIZE: usize = size_of::<u32>();
/// Size of the kind, which the length counts, in bytes.
const KIND_SIZE: usize = 1;

/// What a frame is, with its letter on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
#[repr(u8)]
pub(crate) enum FrameKind {
    /// A call: one or more parts of queries.
    Call = b'm',
    /// The cancellation of a part.
    Cancel = b'n',
    /// A health probe, or the response to one.
    HealthProbe = b'o',
    /// A load probe, or the response to one.
    LoadProbe = b'p',
    /// The response to a part.
    PartResponse = b'q',
    /// The message that the previous frame was rejected.
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

    /// The kind with a letter.
    ///
    /// # Errors
    ///
    /// No kind has this letter.
    fn of_letter(letter: u8) -> Result<Self, InvalidFrame> {
        let mut kinds = FrameKind::ALL.into_iter();
        let kind = kinds.find(|kind| *kind as u8 == letter);
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
    /// The input after the length: it may be shorter than the body, or go on behind it.
    input: &'a [u8],
}

impl<'a> PartialFrame<'a> {
    /// Reads the length of the frame that `input` begins with. `None`: the length has not arrived.
    ///
    /// # Errors
    ///
    /// The length is zero or greater than `max_body_len`.
    pub(crate) fn parse(
        input: &'a [u8],
        max_body_len: usize,
    ) -> Result<Option<Self>, InvalidFrame> {
        let Some((length, input)) = input.split_first_chunk::<LENGTH_SIZE>() else {
            return Ok(None);
        };
        let body_len = u32::from_be_bytes(*length) as usize;
        if body_len == 0 || body_len > max_body_len {
            return Err(InvalidFrame::LengthOutOfBounds);
        }
        Ok(Some(PartialFrame { body_len, input }))
    }

    /// The frame's kind, once it has arrived.
    ///
    /// # Errors
    ///
    /// The kind is unknown.
    pub(crate) fn kind(&self) -> Result<Option<FrameKind>, InvalidFrame> {
        let letter = self.input.first().copied();
        letter.map(FrameKind::of_letter).transpose()
    }

    /// The payload, once all of it has arrived.
    pub(crate) fn payload(&self) -> Option<&'a [u8]> {
        self.input.get(KIND_SIZE..self.body_len)
    }

    /// What follows the kind in the input.
    pub(crate) fn received(&self) -> &'a [u8] {
        self.input.get(KIND_SIZE..).unwrap_or_default()
    }

    /// Length of the whole frame, in bytes.
    pub(crate) fn frame_len(&self) -> usize {
        LENGTH_SIZE + self.body_len
    }
}

/// Reads bytes of a frame as text.
///
/// # Errors
///
/// The bytes are not UTF-8.
pub(crate) fn utf8(bytes: &[u8]) -> Result<&str, InvalidFrame> {
    std::str::from_utf8(bytes).map_err(|_| InvalidFrame::NotUtf8)
}

/// Splits off the first line; the line feed belongs to neither half. `None`: there is no line feed.
pub(crate) fn split_line(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let line_feed = bytes.iter().position(|byte| *byte == b'\n')?;
    Some((&bytes[..line_feed], &bytes[line_feed + 1..]))
}
