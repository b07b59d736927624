//! Limit on the length of an operator's file.

/// Maximum length of an operator's file, in bytes. A longer file is rejected without parsing it.
pub const MAX_FILE_BYTES: usize = 1 << 20;
