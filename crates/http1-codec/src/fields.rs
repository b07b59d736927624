//! Rules for the request target and the fields of a head: `Host`, body framing and persistence (RFC
//! 9112, sections 3, 5, 6 and 9).

use crate::body::BodyFraming;
use crate::error::ParseError;
use http::header::{
    CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderName, HeaderValue, TRANSFER_ENCODING,
};
use http::{Method, Uri, Version};
use std::net::Ipv6Addr;

/// Maximum number of fields in a head.
pub(crate) const MAX_FIELDS: usize = 64;

/// Converts the fields of a parsed head into a map.
pub(crate) fn typed_fields(parsed: &[httparse::Header]) -> Result<HeaderMap, ParseError> {
    let mut fields = HeaderMap::with_capacity(parsed.len());
    for field in parsed {
        let name =
            HeaderName::from_bytes(field.name.as_bytes()).map_err(|_| ParseError::MalformedHead)?;
        let value = HeaderValue::from_bytes(field.value.trim_ascii())
            .map_err(|_| ParseError::MalformedHead)?;
        fields.append(name, value);
    }
    Ok(fields)
}

/// Returns the members of a list-based field, collected from all lines with its name (RFC 9110,
/// section 5.6.1).
fn list_members<'a>(fields: &'a HeaderMap, name: &HeaderName) -> impl Iterator<Item = &'a [u8]> {
    let lines = fields.get_all(name).iter();
    lines
        .flat_map(|value| value.as_bytes().split(|b| *b == b','))
        .map(<[u8]>::trim_ascii)
        .filter(|member| !member.is_empty())
}

/// Returns how the body is delimited, or `None` if no field declares a body (RFC 9112, section
/// 6.3).
pub(crate) fn body_framing(
    fields: &HeaderMap,
    version: Version,
) -> Result<Option<BodyFraming>, ParseError> {
    let has_transfer_coding = fields.contains_key(TRANSFER_ENCODING);
    let mut content_lengths = fields.get_all(CONTENT_LENGTH).iter();
    let content_length = content_lengths.next();
    // Two lengths, or a length with a transfer coding, allow request smuggling (RFC 9112, section
    // 11.2).
    if content_lengths.next().is_some() || (has_transfer_coding && content_length.is_some()) {
        return Err(ParseError::InvalidContentLength);
    }
    if has_transfer_coding {
        return transfer_coding(fields, version).map(Some);
    }
    content_length.map(parse_content_length).transpose()
}

/// Parses `Transfer-Encoding`. Only the single coding `chunked` is supported (RFC 9112, section
/// 6.1).
///
/// Other codings before a final `chunked` are valid, but unknown to this decoder. If `chunked` is
/// absent, is not last or is repeated, the list is invalid, because it does not tell where the body
/// of a request ends. Such a list is rejected in a response, too, although RFC 9112 lets the end of
/// the connection delimit the body of a response whose list does not end in `chunked`. In HTTP/1.0,
/// which has no transfer codings, every list is invalid.
fn transfer_coding(fields: &HeaderMap, version: Version) -> Result<BodyFraming, ParseError> {
    if version < Version::HTTP_11 {
        return Err(ParseError::InvalidTransferCoding);
    }
    let codings: Vec<&[u8]> = list_members(fields, &TRANSFER_ENCODING).collect();
    let is_chunked = |coding: &&[u8]| coding.eq_ignore_ascii_case(b"chunked");
    match codings.split_last() {
        Some((last, [])) if is_chunked(last) => Ok(BodyFraming::Chunked),
        Some((last, before)) if is_chunked(last) && !before.iter().any(is_chunked) => {
            Err(ParseError::UnknownTransferCoding)
        }
        _ => Err(ParseError::InvalidTransferCoding),
    }
}

/// Parses `Content-Length` (RFC 9110, section 8.6).
fn parse_content_length(value: &HeaderValue) -> Result<BodyFraming, ParseError> {
    let digits = value.as_bytes();
    if digits.is_empty() || !digits.iter().all(u8::is_ascii_digit) {
        return Err(ParseError::InvalidContentLength);
    }
    // A length that exceeds 64 bits is syntactically valid. It becomes the maximum, which is
    // rejected as too long.
    let length = std::str::from_utf8(digits)
        .ok()
        .and_then(|digits| digits.parse().ok());
    Ok(BodyFraming::ContentLength(length.unwrap_or(u64::MAX)))
}

/// Returns whether the connection may carry another message (RFC 9112, section 9.3).
pub(crate) fn is_persistent(fields: &HeaderMap, version: Version) -> bool {
    let has_option = |option: &[u8]| {
        list_members(fields, &CONNECTION).any(|member| member.eq_ignore_ascii_case(option))
    };
    !has_option(b"close") && (version >= Version::HTTP_11 || has_option(b"keep-alive"))
}

/// Parses the request target, which must have a form that the method allows (RFC 9112, section
/// 3.2).
pub(crate) fn parse_target(method: &Method, text: &str) -> Result<Uri, ParseError> {
    if *method == Method::CONNECT {
        return Err(ParseError::ConnectNotSupported);
    }
    // Characters that a URI cannot contain (RFC 3986, section 2), and `#`, which starts a fragment:
    // a request target has no fragment.
    let is_forbidden = |b: u8| !b.is_ascii_graphic() || b"\"#<>\\^`{|}".contains(&b);
    if text.bytes().any(is_forbidden) {
        return Err(ParseError::InvalidTarget);
    }
    let uri: Uri = text.parse().map_err(|_| ParseError::InvalidTarget)?;
    let is_asterisk_form = text == "*" && *method == Method::OPTIONS;
    let is_origin_form = text.starts_with('/');
    if is_asterisk_form || is_origin_form || is_absolute_form(&uri) {
        Ok(uri)
    } else {
        Err(ParseError::InvalidTarget)
    }
}

/// Returns whether a target is an absolute HTTP URI with a host (RFC 9112, section 3.2.2).
fn is_absolute_form(uri: &Uri) -> bool {
    match (uri.scheme_str(), uri.authority()) {
        (Some("http" | "https"), Some(authority)) => is_valid_authority(authority.as_str()),
        _ => false,
    }
}

/// Checks that `Host` is given once and is valid (RFC 9112, section 3.2; RFC 9110, section 7.2). In
/// HTTP/1.0 it may be absent.
pub(crate) fn validate_host(fields: &HeaderMap, version: Version) -> Result<(), ParseError> {
    let mut hosts = fields.get_all(HOST).iter();
    match (hosts.next(), hosts.next()) {
        (None, _) if version < Version::HTTP_11 => Ok(()),
        (Some(host), None) if host.to_str().is_ok_and(is_valid_host_field) => Ok(()),
        _ => Err(ParseError::InvalidHost),
    }
}

/// Returns whether `text` is a valid authority of an HTTP URI. The grammar is that of a `Host`
/// field, except that the host must not be empty.
fn is_valid_authority(text: &str) -> bool {
    let is_host_empty = text.is_empty() || text.starts_with(':');
    !is_host_empty && is_valid_host_field(text)
}

/// Returns whether `text` is `uri-host [ ":" port ]` (RFC 9110, section 7.2; RFC 3986, section
/// 3.2.2). The host may be empty. User information before the host is invalid (RFC 9110, section
/// 4.2.4).
fn is_valid_host_field(text: &str) -> bool {
    if let Some((address, rest)) = text.strip_prefix('[').and_then(|t| t.split_once(']')) {
        let port = rest.strip_prefix(':').or(rest.is_empty().then_some(""));
        return address.parse::<Ipv6Addr>().is_ok() && port.is_some_and(is_valid_port);
    }
    let (host, port) = text.split_once(':').unwrap_or((text, ""));
    let is_host_char = |b: u8| b.is_ascii_alphanumeric() || b"-._~%!$&'()*+,;=".contains(&b);
    host.bytes().all(is_host_char) && is_valid_port(port)
}

/// Returns whether `text` is empty or a number of at most 16 bits.
fn is_valid_port(text: &str) -> bool {
    let is_number = text.bytes().all(|b| b.is_ascii_digit());
    text.is_empty() || (is_number && text.parse::<u16>().is_ok())
}
