//! Encoding and decoding of responses.

use http::Version;
use http1_codec::{
    Limits, ParseError, Progress, ResponseDecoder, ResponseOptions, encode_response,
};

/// Options of a response to an HTTP/1.1 request on a connection that stays open.
const OPTIONS: ResponseOptions = ResponseOptions {
    version: Version::HTTP_11,
    head_only: false,
    keep_alive: true,
};

fn encode(response: &http::Response<Vec<u8>>, options: ResponseOptions) -> String {
    String::from_utf8(encode_response(response, options)).unwrap()
}

#[test]
fn response_framing_depends_on_request_and_status() {
    let mut response = http::Response::new(b"xy".to_vec());
    response
        .headers_mut()
        .insert("retry-after", "1".parse().unwrap());
    assert_eq!(
        encode(&response, OPTIONS),
        "HTTP/1.1 200 OK\r\nRetry-After: 1\r\nContent-Length: 2\r\n\r\nxy"
    );
    let closing_head = ResponseOptions {
        keep_alive: false,
        head_only: true,
        ..OPTIONS
    };
    let text = encode(&response, closing_head);
    assert!(
        text.ends_with("Content-Length: 2\r\nConnection: close\r\n\r\n"),
        "{text}"
    );
    let http10 = ResponseOptions {
        version: Version::HTTP_10,
        ..OPTIONS
    };
    let text = encode(&response, http10);
    assert!(text.contains("\r\nConnection: keep-alive\r\n"), "{text}");
    *response.status_mut() = http::StatusCode::NO_CONTENT;
    assert!(!encode(&response, OPTIONS).contains("Content-Length"));
}

#[test]
fn interim_responses_are_skipped() {
    let limits = Limits {
        head_bytes: 1024,
        body_bytes: 256,
    };
    let mut input = b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\nHTTP/1.1 200 OK\r\nConnection: close\r\n\
        Transfer-Encoding: chunked\r\n\r\n2\r\nxy\r\n0\r\n\r\n"
        .to_vec();
    let mut decoder = ResponseDecoder::new(limits);
    let mut seen = Vec::new();
    while let Ok(Progress::Complete(m)) = decoder.decode(&mut input) {
        seen.push((m.value.status().as_u16(), m.value.into_body(), m.keep_alive));
    }
    assert_eq!(seen, [(204, vec![], true), (200, b"xy".to_vec(), false)]);
}

/// RFC 9112, section 6.3: the end of the connection completes only a response without a declared
/// length.
#[test]
fn response_without_length_ends_with_connection() {
    let limits = Limits {
        head_bytes: 1024,
        body_bytes: 3,
    };
    // In the texts, `~` stands for a line end.
    for (text, body) in [
        ("HTTP/1.1 200 OK~~xy", Some("xy")),
        ("HTTP/1.1 200 OK~~", Some("")),
        ("HTTP/1.1 200 OK~Content-Length: 3~~xy", None),
        ("HTTP/1.1 200 OK~Transfer-Encoding: chunked~~2~xy~", None),
        ("HTTP/1.1 200 OK~", None),
        ("", None),
    ] {
        let mut decoder = ResponseDecoder::new(limits);
        let mut input = text.replace('~', "\r\n").into_bytes();
        assert!(
            matches!(decoder.decode(&mut input), Ok(Progress::Incomplete { .. })),
            "{text}"
        );
        let ended = decoder.finish();
        assert!(ended.as_ref().is_none_or(|m| !m.keep_alive));
        let ended = ended.map(|m| m.value.into_body());
        assert_eq!(ended.as_deref(), body.map(str::as_bytes), "{text}");
    }
    // A body of four bytes without a declared length exceeds the limit of three.
    let mut over_limit = b"HTTP/1.1 200 OK\r\n\r\nwxyz".to_vec();
    assert_eq!(
        ResponseDecoder::new(limits).decode(&mut over_limit).err(),
        Some(ParseError::BodyTooLong)
    );
}
