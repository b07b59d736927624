//! The limit on the file.

/// Longest file that is read, in bytes.
pub const MAX_FILE_BYTES: usize = 1 << 20;
