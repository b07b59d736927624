//! Limit on the length of an operator's file.

/// Maximum length of a file that is read, in bytes.
pub const MAX_FILE_BYTES: usize = 1 << 20;
