//! Encoding of responses (RFC 9112, sections 4 to 6).

use http::{Response, Version};
use std::io::Write;

/// Initial capacity for the head of a response, in bytes. It suffices for the fields that the
/// broker sends.
const HEAD_CAPACITY_BYTES: usize = 256;

/// Properties of the request and its connection that affect the framing of the response.
#[derive(Clone, Copy, Debug)]
pub struct ResponseOptions {
    /// HTTP version of the request. A response to an HTTP/1.0 request has to say that the
    /// connection stays open (RFC 9112, section 9.3).
    pub version: Version,
    /// Whether the method of the request is HEAD. The response then has no body (RFC 9110, section
    /// 9.3.2).
    pub head_only: bool,
    /// Whether the connection may carry another request.
    pub keep_alive: bool,
}

/// Encodes a response with a complete body.
///
/// Adds `Content-Length`, unless the status is 1xx or 204, and `Connection`, if the connection is to
/// be closed or stays open after an HTTP/1.0 request. `response` must contain neither field.
#[must_use]
pub fn encode_response(response: &Response<Vec<u8>>, options: ResponseOptions) -> Vec<u8> {
    let status = response.status();
    let body = response.body();
    // Responses with the status 1xx or 204 have neither a body nor `Content-Length` (RFC 9110,
    // section 8.6). A response with the status 304 has no body either, but the broker sends none.
    let may_have_body = !status.is_informational() && status.as_u16() != 204;
    let mut encoded = Vec::with_capacity(HEAD_CAPACITY_BYTES + body.len());
    // Writing into a vector does not fail.
    let _ = write!(
        encoded,
        "HTTP/1.1 {} {}\r\n",
        status.as_u16(),
        status.canonical_reason().unwrap_or("Unknown")
    );
    for (name, value) in response.headers() {
        append_title_case(name.as_str(), &mut encoded);
        encoded.extend_from_slice(b": ");
        encoded.extend_from_slice(value.as_bytes());
        encoded.extend_from_slice(b"\r\n");
    }
    if may_have_body {
        let _ = write!(encoded, "Content-Length: {}\r\n", body.len());
    }
    if !options.keep_alive {
        encoded.extend_from_slice(b"Connection: close\r\n");
    } else if options.version < Version::HTTP_11 {
        encoded.extend_from_slice(b"Connection: keep-alive\r\n");
    }
    encoded.extend_from_slice(b"\r\n");
    if may_have_body && !options.head_only {
        encoded.extend_from_slice(body);
    }
    encoded
}

/// Appends a lower-case field name in its usual spelling, such as `Retry-After`. The spelling is
/// only a convention, because field names are case-insensitive (RFC 9110, section 5.1).
fn append_title_case(name: &str, encoded: &mut Vec<u8>) {
    let mut starts_word = true;
    for byte in name.bytes() {
        encoded.push(if starts_word {
            byte.to_ascii_uppercase()
        } else {
            byte
        });
        starts_word = byte == b'-';
    }
}
