//! The outer form of a frame: its length, its kind and its payload.

use crate::InvalidFrame;

/// Kind of a frame with a call: one or more parts of queries.
pub(crate) const CALL: u8 = b'm';
/// Kind of a frame that cancels a part.
pub(crate) const CANCEL: u8 = b'n';
/// Kind of a frame with the response to a part.
pub(crate) const PART_RESPONSE: u8 = b'q';
/// Kind of a frame that says that the previous frame was rejected.
pub(crate) const REJECTION: u8 = b'r';
/// Kind of a health probe, and of its response.
pub(crate) const HEALTH_PROBE: u8 = b'o';
/// Kind of a load probe, and of its response.
pub(crate) const LOAD_PROBE: u8 = b'p';

/// Size of the length that precedes each frame, in bytes.
const LENGTH_SIZE: usize = size_of::<u32>();
/// Size of the kind, which the length counts, in bytes.
const KIND_SIZE: usize = 1;

/// Encodes a frame.
pub(crate) fn encode(kind: u8, payload: &[u8]) -> Vec<u8> {
    let mut frame = Vec::with_capacity(LENGTH_SIZE + KIND_SIZE + payload.len());
    frame.extend((payload.len() as u32 + 1).to_be_bytes());
    frame.push(kind);
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
    pub(crate) fn kind(&self) -> Option<u8> {
        self.input.first().copied()
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

/// Splits off the first line; the newline belongs to neither half. `None`: there is no newline.
pub(crate) fn split_line(bytes: &[u8]) -> Option<(&[u8], &[u8])> {
    let newline = bytes.iter().position(|byte| *byte == b'\n')?;
    Some((&bytes[..newline], &bytes[newline + 1..]))
}
