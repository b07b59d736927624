//! HTTP semantics of the broker (RFC 9110) for all versions of HTTP: routing of requests, decoding
//! of queries and encoding of final responses.
//!
//! Other packages read and write the messages on connections. Each listener decodes its requests
//! with [`route`] and encodes final responses with [`encode_final_response`].

mod body;
mod deadline;
mod decode;
mod invalid_request;
mod limits;
mod method;
mod parts;
mod response;
mod route;

pub use decode::decode;
pub use invalid_request::InvalidRequest;
pub use limits::{MAX_BODY_BYTES, MAX_HEAD_BYTES};
pub use response::{Response, connection_rejected, date_header_value, encode_final_response};
pub use route::{Readiness, Routed, route};
