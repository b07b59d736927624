//! Start lines, targets, `Host` and fields that are rejected (RFC 9112, sections 2 to 5).

use crate::support::{RejectedRequest, rejected};
use http1_codec::ParseError;

const CASES: &[RejectedRequest] = &[
    rejected(
        "2.2 space before the first field",
        "GET / HTTP/1.1~ Host: a~Host: a~~",
        ParseError::MalformedHead,
    ),
    rejected(
        "2.2 bare CR in a field",
        "GET / HTTP/1.1~Host: a~A: b\rc~~",
        ParseError::MalformedHead,
    ),
    rejected(
        "2.2 bare CR in the start line",
        "GET /\r HTTP/1.1~Host: a~~",
        ParseError::MalformedHead,
    ),
    rejected(
        "2.3 another major version",
        "GET / HTTP/2.0~Host: a~~",
        ParseError::UnsupportedVersion,
    ),
    rejected(
        "2.3 the preface of HTTP/2",
        "PRI * HTTP/2.0~~SM~~",
        ParseError::UnsupportedVersion,
    ),
    rejected(
        "2.3 no version",
        "GET /~Host: a~~",
        ParseError::MalformedHead,
    ),
    rejected(
        "2.3 version in lower case",
        "GET / http/1.1~Host: a~~",
        ParseError::UnsupportedVersion,
    ),
    rejected(
        "3 two spaces",
        "GET  / HTTP/1.1~Host: a~~",
        ParseError::MalformedHead,
    ),
    rejected(
        "3 a tab",
        "GET\t/ HTTP/1.1~Host: a~~",
        ParseError::MalformedHead,
    ),
    rejected(
        "3.1 no method",
        " / HTTP/1.1~Host: a~~",
        ParseError::MalformedHead,
    ),
    rejected(
        "3.1 a method that is not a token",
        "G(T / HTTP/1.1~Host: a~~",
        ParseError::MalformedHead,
    ),
    rejected("3.2 no Host", "GET / HTTP/1.1~~", ParseError::InvalidHost),
    rejected(
        "3.2 two Hosts",
        "GET / HTTP/1.1~Host: a~Host: a~~",
        ParseError::InvalidHost,
    ),
    rejected(
        "3.2 a list of Hosts",
        "GET / HTTP/1.1~Host: a, b~~",
        ParseError::InvalidHost,
    ),
    rejected(
        "3.2 Host with a path",
        "GET / HTTP/1.1~Host: a/b~~",
        ParseError::InvalidHost,
    ),
    rejected(
        "3.2 Host with user information",
        "GET / HTTP/1.1~Host: u@a~~",
        ParseError::InvalidHost,
    ),
    rejected(
        "3.2 Host with a port that is not a number",
        "GET / HTTP/1.1~Host: a:b~~",
        ParseError::InvalidHost,
    ),
    rejected(
        "3.2 Host with a port too high",
        "GET / HTTP/1.1~Host: a:65536~~",
        ParseError::InvalidHost,
    ),
    rejected(
        "3.2 Host with an incomplete address",
        "GET / HTTP/1.1~Host: [::1~~",
        ParseError::InvalidHost,
    ),
    rejected(
        "3.2 two Hosts in HTTP/1.0",
        "GET / HTTP/1.0~Host: a~Host: b~~",
        ParseError::InvalidHost,
    ),
    rejected(
        "3.2.1 a path without a slash",
        "GET a HTTP/1.1~Host: a~~",
        ParseError::InvalidTarget,
    ),
    rejected(
        "3.2.1 a fragment",
        "GET /a#b HTTP/1.1~Host: a~~",
        ParseError::InvalidTarget,
    ),
    rejected(
        "3.2.1 a character that is forbidden in a URI",
        "GET /a\"b HTTP/1.1~Host: a~~",
        ParseError::InvalidTarget,
    ),
    rejected(
        "3.2.2 another scheme",
        "GET ftp://a/ HTTP/1.1~Host: a~~",
        ParseError::InvalidTarget,
    ),
    rejected(
        "3.2.2 no host in the URI",
        "GET http:///a HTTP/1.1~Host: a~~",
        ParseError::InvalidTarget,
    ),
    rejected(
        "3.2.2 user information in the URI",
        "GET http://u@a/ HTTP/1.1~Host: a~~",
        ParseError::InvalidTarget,
    ),
    rejected(
        "3.2.3 CONNECT",
        "CONNECT a:80 HTTP/1.1~Host: a~~",
        ParseError::ConnectNotSupported,
    ),
    rejected(
        "3.2.3 an authority without CONNECT",
        "GET a:80 HTTP/1.1~Host: a~~",
        ParseError::InvalidTarget,
    ),
    rejected(
        "3.2.4 the asterisk without OPTIONS",
        "GET * HTTP/1.1~Host: a~~",
        ParseError::InvalidTarget,
    ),
    rejected(
        "5 no colon",
        "GET / HTTP/1.1~Host: a~AB~~",
        ParseError::MalformedHead,
    ),
    rejected(
        "5 an empty name",
        "GET / HTTP/1.1~Host: a~: b~~",
        ParseError::MalformedHead,
    ),
    rejected(
        "5.1 space before the colon",
        "GET / HTTP/1.1~Host : a~~",
        ParseError::MalformedHead,
    ),
    rejected(
        "5.1 a name that is not a token",
        "GET / HTTP/1.1~Host: a~A(: b~~",
        ParseError::MalformedHead,
    ),
    rejected(
        "5.2 a folded line",
        "GET / HTTP/1.1~Host: a~A: b~ c~~",
        ParseError::MalformedHead,
    ),
    rejected(
        "5.5 a NUL",
        "GET / HTTP/1.1~Host: a~A: b\0~~",
        ParseError::MalformedHead,
    ),
];

#[test]
fn malformed_head_is_rejected_with_its_error() {
    for case in CASES {
        case.check();
    }
}
