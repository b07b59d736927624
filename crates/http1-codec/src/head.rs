//! Parsing of the heads of requests and responses (RFC 9112, sections 2 to 5).

use crate::body::{BodyDecoder, BodyFraming};
use crate::error::ParseError;
use crate::fields;
use crate::limits::Limits;
use crate::partial_message::{MessageHead, PartialMessage};
use http::header::{EXPECT, HeaderMap};
use http::{Method, Request, Response, StatusCode, Version};

/// Text before the minor version in a start line.
const VERSION_PREFIX: &[u8; 7] = b"HTTP/1.";

/// Result of parsing a head: the message, whose body is still to be decoded, and the length of the
/// head.
#[derive(Debug)]
pub(crate) struct ParsedHead<T> {
    /// The message, without any of its body.
    pub(crate) message: PartialMessage<T>,
    /// Length of the head, in bytes.
    pub(crate) length: usize,
}

/// Parses the request head at the start of `input`. Returns `None` if the head is incomplete.
pub(crate) fn parse_request_head(
    input: &[u8],
    limits: Limits,
) -> Result<Option<ParsedHead<Request<Vec<u8>>>>, ParseError> {
    let mut field_lines = [httparse::EMPTY_HEADER; fields::MAX_FIELDS];
    let mut head = httparse::Request::new(&mut field_lines);
    let length = match head.parse(input) {
        Ok(httparse::Status::Complete(length)) if length <= limits.head_bytes => length,
        Ok(httparse::Status::Partial) if input.len() <= limits.head_bytes => return Ok(None),
        // The request line alone exceeds the limit on the head.
        Ok(_) if !input[..limits.head_bytes].contains(&b'\n') => {
            return Err(ParseError::RequestLineTooLong);
        }
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(ParseError::HeadTooLong),
        Err(httparse::Error::Version) => return parse_later_minor_version(input, limits),
        Err(_) => return Err(ParseError::MalformedHead),
    };
    let message = request_message(&head, limits)?;
    Ok(Some(ParsedHead { message, length }))
}

/// Converts a parsed request head into a message. Checks the rules that the grammar does not cover:
/// those on the request target, `Host` and the length of the body.
fn request_message(
    head: &httparse::Request,
    limits: Limits,
) -> Result<PartialMessage<Request<Vec<u8>>>, ParseError> {
    let version = http_version(head.version);
    let method = Method::from_bytes(head.method.unwrap_or_default().as_bytes())
        .map_err(|_| ParseError::MalformedHead)?;
    let uri = fields::parse_target(&method, head.path.unwrap_or_default())?;
    let header_fields = fields::typed_fields(head.headers)?;
    fields::validate_host(&header_fields, version)?;
    let framing = request_body_framing(&header_fields, &method, version)?;
    let expects_continue = expects_continue(&header_fields, version, framing);
    let keep_alive = fields::is_persistent(&header_fields, version);
    let body = BodyDecoder::new(framing, limits.body_bytes)?;
    let mut value = Request::new(Vec::new());
    *value.method_mut() = method;
    *value.uri_mut() = uri;
    *value.version_mut() = version;
    *value.headers_mut() = header_fields;
    let head = MessageHead {
        value,
        keep_alive,
        expects_continue,
    };
    Ok(PartialMessage::new(head, body))
}

/// Returns how the body of a request is delimited. POST, PUT and PATCH imply a body, so a request
/// with one of them must declare how its body is delimited; other requests may have no body.
fn request_body_framing(
    header_fields: &HeaderMap,
    method: &Method,
    version: Version,
) -> Result<BodyFraming, ParseError> {
    let implies_body = [Method::POST, Method::PUT, Method::PATCH].contains(method);
    match fields::body_framing(header_fields, version)? {
        Some(framing) => Ok(framing),
        None if implies_body => Err(ParseError::LengthRequired),
        None => Ok(BodyFraming::ContentLength(0)),
    }
}

/// Returns whether the client may wait for `100 Continue` before it sends the body. `Expect` is
/// ignored in HTTP/1.0 and in requests without a body (RFC 9110, section 10.1.1).
fn expects_continue(header_fields: &HeaderMap, version: Version, framing: BodyFraming) -> bool {
    let has_expectation = header_fields
        .get(EXPECT)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"100-continue"));
    has_expectation && version == Version::HTTP_11 && framing != BodyFraming::ContentLength(0)
}

/// Parses the head of a request whose version is neither HTTP/1.0 nor HTTP/1.1. A later minor
/// version is treated as HTTP/1.1 (RFC 9110, section 2.5); any other version is an error.
fn parse_later_minor_version(
    input: &[u8],
    limits: Limits,
) -> Result<Option<ParsedHead<Request<Vec<u8>>>>, ParseError> {
    let line_length = input
        .iter()
        .position(|b| *b == b'\n')
        .unwrap_or(input.len());
    let prefix = input[..line_length]
        .windows(VERSION_PREFIX.len())
        .position(|w| w == VERSION_PREFIX)
        .ok_or(ParseError::UnsupportedVersion)?;
    let minor_version = prefix + VERSION_PREFIX.len();
    match &input[minor_version..] {
        [b'2'..=b'9'] => Ok(None),
        [b'2'..=b'9', b'\r' | b'\n', ..] => {
            let mut as_http11 = input.to_vec();
            as_http11[minor_version] = b'1';
            parse_request_head(&as_http11, limits)
        }
        _ => Err(ParseError::UnsupportedVersion),
    }
}

/// Parses the response head at the start of `input`. Returns `None` if the head is incomplete.
pub(crate) fn parse_response_head(
    input: &[u8],
    limits: Limits,
) -> Result<Option<ParsedHead<Response<Vec<u8>>>>, ParseError> {
    let mut field_lines = [httparse::EMPTY_HEADER; fields::MAX_FIELDS];
    let mut head = httparse::Response::new(&mut field_lines);
    let length = match head.parse(input) {
        Ok(httparse::Status::Complete(length)) if length <= limits.head_bytes => length,
        Ok(httparse::Status::Partial) if input.len() <= limits.head_bytes => return Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => return Err(ParseError::HeadTooLong),
        Err(_) => return Err(ParseError::MalformedHead),
    };
    let message = response_message(&head, limits)?;
    Ok(Some(ParsedHead { message, length }))
}

/// Converts a parsed response head into a message.
fn response_message(
    head: &httparse::Response,
    limits: Limits,
) -> Result<PartialMessage<Response<Vec<u8>>>, ParseError> {
    let version = http_version(head.version);
    let status = StatusCode::from_u16(head.code.unwrap_or_default())
        .map_err(|_| ParseError::MalformedHead)?;
    let header_fields = fields::typed_fields(head.headers)?;
    let declared_framing = fields::body_framing(&header_fields, version)?;
    // Responses with these status codes never have a body, whatever their fields declare (RFC 9112,
    // section 6.3).
    let has_body = !status.is_informational() && ![204, 304].contains(&status.as_u16());
    let framing = if has_body {
        declared_framing.unwrap_or(BodyFraming::ConnectionClose)
    } else {
        BodyFraming::ContentLength(0)
    };
    let keep_alive = fields::is_persistent(&header_fields, version);
    let body = BodyDecoder::new(framing, limits.body_bytes)?;
    let mut value = Response::new(Vec::new());
    *value.status_mut() = status;
    *value.version_mut() = version;
    *value.headers_mut() = header_fields;
    let head = MessageHead {
        value,
        keep_alive,
        expects_continue: false,
    };
    Ok(PartialMessage::new(head, body))
}

/// Returns the HTTP version for the minor version that `httparse` found in a complete head, which is
/// `Some(0)` or `Some(1)`.
fn http_version(minor: Option<u8>) -> Version {
    if minor == Some(0) {
        Version::HTTP_10
    } else {
        Version::HTTP_11
    }
}
