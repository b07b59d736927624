//! Requirements of RFC 9112 on the decoding of requests and on the encoding and decoding of
//! responses, and the size limits of the codec. Each accepted or rejected request names the section
//! that it is based on.

mod accepted_requests;
mod consecutive_requests;
mod rejected_bodies;
mod rejected_heads;
mod responses;
mod size_limits;
mod support;
