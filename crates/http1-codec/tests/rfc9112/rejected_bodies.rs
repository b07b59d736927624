//! Body framing that is rejected (RFC 9112, sections 6 and 7).

use crate::support::{RejectedRequest, rejected};
use http1_codec::ParseError;

const CASES: &[RejectedRequest] = &[
    rejected(
        "6.1 a length before a transfer coding",
        "POST / HTTP/1.1~Host: a~Content-Length: 1~Transfer-Encoding: chunked~~",
        ParseError::InvalidContentLength,
    ),
    rejected(
        "6.1 a transfer coding before a length",
        "POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~Content-Length: 1~~",
        ParseError::InvalidContentLength,
    ),
    rejected(
        "6.1 chunked is not last",
        "POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked, gzip~~",
        ParseError::InvalidTransferCoding,
    ),
    rejected(
        "6.1 chunked twice",
        "POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked, chunked~~",
        ParseError::InvalidTransferCoding,
    ),
    rejected(
        "6.1 chunked twice over two lines",
        "POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~Transfer-Encoding: chunked~~",
        ParseError::InvalidTransferCoding,
    ),
    rejected(
        "6.1 no coding at all",
        "POST / HTTP/1.1~Host: a~Transfer-Encoding: ~~",
        ParseError::InvalidTransferCoding,
    ),
    rejected(
        "6.1 unknown coding alone",
        "POST / HTTP/1.1~Host: a~Transfer-Encoding: gzip~~",
        ParseError::InvalidTransferCoding,
    ),
    rejected(
        "6.1 unknown coding before chunked",
        "POST / HTTP/1.1~Host: a~Transfer-Encoding: gzip, chunked~~",
        ParseError::UnknownTransferCoding,
    ),
    rejected(
        "6.1 chunked with parameters",
        "POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked;a=b~~",
        ParseError::InvalidTransferCoding,
    ),
    rejected(
        "6.1 chunks in HTTP/1.0",
        "POST / HTTP/1.0~Transfer-Encoding: chunked~~",
        ParseError::InvalidTransferCoding,
    ),
    rejected(
        "6.2 a sign",
        "POST / HTTP/1.1~Host: a~Content-Length: +1~~",
        ParseError::InvalidContentLength,
    ),
    rejected(
        "6.2 a negative number",
        "POST / HTTP/1.1~Host: a~Content-Length: -1~~",
        ParseError::InvalidContentLength,
    ),
    rejected(
        "6.2 a hexadecimal number",
        "POST / HTTP/1.1~Host: a~Content-Length: 0x1~~",
        ParseError::InvalidContentLength,
    ),
    rejected(
        "6.2 an empty value",
        "POST / HTTP/1.1~Host: a~Content-Length: ~~",
        ParseError::InvalidContentLength,
    ),
    rejected(
        "6.2 a list",
        "POST / HTTP/1.1~Host: a~Content-Length: 1, 1~~",
        ParseError::InvalidContentLength,
    ),
    rejected(
        "6.2 given twice",
        "POST / HTTP/1.1~Host: a~Content-Length: 1~Content-Length: 1~~",
        ParseError::InvalidContentLength,
    ),
    rejected(
        "6.2 a length over the limit",
        "POST / HTTP/1.1~Host: a~Content-Length: 257~~",
        ParseError::BodyTooLong,
    ),
    rejected(
        "6.2 a length beyond 64 bits",
        "POST / HTTP/1.1~Host: a~Content-Length: 99999999999999999999999~~",
        ParseError::BodyTooLong,
    ),
    rejected(
        "6.3 a body without a length",
        "POST / HTTP/1.1~Host: a~~",
        ParseError::LengthRequired,
    ),
    rejected(
        "7.1 no size",
        "POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~~",
        ParseError::MalformedChunk,
    ),
    rejected(
        "7.1 no digits",
        "POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~zz~",
        ParseError::MalformedChunk,
    ),
    rejected(
        "7.1 a sign",
        "POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~+1~",
        ParseError::MalformedChunk,
    ),
    rejected(
        "7.1 space before the size",
        "POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~ 1~",
        ParseError::MalformedChunk,
    ),
    rejected(
        "7.1 space after the size",
        "POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~1 ~",
        ParseError::MalformedChunk,
    ),
    rejected(
        "7.1 a size beyond 64 bits",
        "POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~10000000000000001~",
        ParseError::MalformedChunk,
    ),
    rejected(
        "7.1 more data than the size",
        "POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~1~ab~",
        ParseError::MalformedChunk,
    ),
    rejected(
        "7.1 a size over the limit",
        "POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~101~",
        ParseError::BodyTooLong,
    ),
    rejected(
        "7.1.1 a bare line end in an extension",
        "POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~1;a\nb~",
        ParseError::MalformedChunk,
    ),
    rejected(
        "7.1.2 a malformed trailer",
        "POST / HTTP/1.1~Host: a~Transfer-Encoding: chunked~~0~a b~~",
        ParseError::MalformedTrailer,
    ),
];

#[test]
fn malformed_body_framing_is_rejected_with_its_error() {
    for case in CASES {
        case.check();
    }
}
