//! Limits on the size of a message.

/// Largest message that a decoder accepts.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Longest head in bytes, including its start line.
    pub head_bytes: usize,
    /// Longest body in bytes, excluding the framing of its chunks.
    pub body_bytes: usize,
}
