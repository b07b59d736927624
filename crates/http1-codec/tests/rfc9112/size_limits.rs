//! Limits on the size of heads, chunk framing and trailers.

use crate::support::{LIMITS, decode_in_one_read};
use http1_codec::ParseError;

#[test]
fn head_over_size_limit_has_status_414_or_431() {
    let long = "a".repeat(LIMITS.head_bytes);
    let many: String = (0..65).map(|n| format!("A{n}: 1\r\n")).collect();
    for (text, status) in [
        (format!("GET /{long} HTTP/1.1\r\n"), 414),
        (format!("{long}{long}"), 414),
        (format!("GET / HTTP/1.1\r\nA: {long}"), 431),
        (format!("GET / HTTP/1.1\r\nHost: a\r\n{many}\r\n"), 431),
    ] {
        assert_eq!(
            decode_in_one_read(&text).err().map(ParseError::status),
            Some(status)
        );
    }
    // A chunk extension and a trailer section over their limits have errors of their own.
    let extension =
        format!("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1;{long}");
    assert_eq!(
        decode_in_one_read(&extension).err(),
        Some(ParseError::MalformedChunk)
    );
    let trailer = format!(
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nA: {}",
        long.repeat(9)
    );
    assert_eq!(
        decode_in_one_read(&trailer).err(),
        Some(ParseError::MalformedTrailer)
    );
}

/// Guards against clients that send extensions without end: a body in chunks of one byte takes six
/// bytes on the wire per byte of data, and extensions could increase this without limit.
#[test]
fn chunk_overhead_is_limited() {
    let head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n";
    let plain = format!("{head}{}0\r\n\r\n", "1\r\nx\r\n".repeat(LIMITS.body_bytes));
    assert_eq!(
        decode_in_one_read(&plain)
            .unwrap()
            .request
            .unwrap()
            .value
            .body()
            .len(),
        LIMITS.body_bytes
    );
    let padded = format!(
        "{head}{}",
        format!("1;{}\r\nx\r\n", "a".repeat(100)).repeat(LIMITS.body_bytes)
    );
    assert_eq!(
        decode_in_one_read(&padded).err(),
        Some(ParseError::BodyTooLong)
    );
}
