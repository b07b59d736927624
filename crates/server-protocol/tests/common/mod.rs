//! Helpers for the tests of this package.

/// Builds a frame without the encoder under test.
pub fn frame(kind: u8, payload: &[u8]) -> Vec<u8> {
    let body_len = u32::try_from(payload.len() + 1).unwrap();
    [&body_len.to_be_bytes()[..], &[kind], payload].concat()
}
