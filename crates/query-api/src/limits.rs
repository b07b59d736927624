//! Limits on what a request may contain.

use std::time::Duration;

/// Longest body of a request, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Longest head of a request, in bytes: of the text in HTTP/1.1, of the header list as RFC 9113,
/// section 6.5.2, counts it in HTTP/2.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Longest time that a client may ask the broker to take: one hour.
pub(crate) const MAX_CLIENT_TIMEOUT: Duration = Duration::from_secs(3600);
