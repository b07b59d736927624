//! Several requests on one connection, and `100 Continue`.

use crate::support::LIMITS;
use http1_codec::{Progress, RequestDecoder};

/// RFC 9112, section 9.3.2: a client may send requests before it has received earlier responses.
#[test]
fn pipelined_requests_are_decoded_one_by_one() {
    let mut input =
        b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx\r\nGET /b HTTP/1.1\r\nHost: a\r\n\r\n"
            .to_vec();
    let mut decoder = RequestDecoder::new(LIMITS);
    let mut paths = Vec::new();
    while let Ok(Progress::Complete(m)) = decoder.decode(&mut input) {
        paths.push(m.value.uri().path().to_owned());
    }
    assert_eq!(
        (paths, input.len()),
        (vec!["/a".to_owned(), "/b".to_owned()], 0)
    );
}

/// RFC 9110, section 10.1.1. The expectation is ignored if part of the body has arrived, and in
/// HTTP/1.0.
#[test]
fn expectation_of_100_continue_is_reported() {
    let awaits_continue = |text: &str| {
        let mut input = text.as_bytes().to_vec();
        matches!(
            RequestDecoder::new(LIMITS).decode(&mut input),
            Ok(Progress::Incomplete {
                awaits_continue: true
            })
        )
    };
    let head = "Host: a\r\nExpect: 100-Continue\r\nContent-Length: 2\r\n\r\n";
    assert!(awaits_continue(&format!("POST / HTTP/1.1\r\n{head}")));
    assert!(!awaits_continue(&format!("POST / HTTP/1.1\r\n{head}x")));
    assert!(!awaits_continue(&format!("POST / HTTP/1.0\r\n{head}")));
}
