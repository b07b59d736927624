//! Limits on the size of a message.

/// Maximum size of a message that a decoder accepts.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Maximum length of the head in bytes, including its start line.
    pub head_bytes: usize,
    /// Maximum length of the body in bytes, excluding the framing of its chunks.
    pub body_bytes: usize,
}
