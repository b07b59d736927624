//! HTTP semantics of the broker (RFC 9110), whatever the version of HTTP: which requests there are, how a query is
//! decoded from one, and how its final response is encoded.
//!
//! How messages are framed on a connection is the job of other packages. Each listener decodes its requests with
//! [`route`] and encodes final responses with [`encode_final_response`].

mod deadline;
mod decode;
mod invalid_request;
mod parts;
mod response;
mod route;

pub use decode::decode;
pub use invalid_request::InvalidRequest;
pub use response::{Response, connection_rejected, date_header_value, encode_final_response};
pub use route::{Routed, route};

/// Longest body of a request, in bytes.
pub const MAX_BODY_BYTES: usize = 64 * 1024;
/// Longest head of a request, in bytes: of the text in HTTP/1.1, of the header list as RFC 9113, section 6.5.2, counts
/// it in HTTP/2.
pub const MAX_HEAD_BYTES: usize = 16 * 1024;
