//! Limits on requests.

use std::time::Duration;

/// Maximum length of a request's body, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Maximum size of a request's head, in bytes. In HTTP/1.1 the size is the length of the text, in
/// HTTP/2 that of the header list as defined in RFC 9113, section 6.5.2.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
/// Maximum time that `X-Deadline` may give for a query: one hour.
pub(crate) const MAX_CLIENT_TIMEOUT: Duration = Duration::from_secs(3600);
