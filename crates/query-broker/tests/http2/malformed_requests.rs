//! Tests of malformed requests (RFC 9113, section 8.1.1). The broker must reject such a request without
//! sending a call for it, and go on serving the other streams of the connection. Only if a field's name
//! is invalid may it close the connection.

use crate::fixture::{Fixture, WAIT_TIMEOUT, query_headers};
use load_generator::raw_http2::{
    DATA, END_STREAM, Frame, GOAWAY, HEADERS, QUERY_BODY, RST_STREAM, RawHttp2Client, encode_frame,
    query_frames, response_status,
};
use std::time::Duration;

/// The error code `PROTOCOL_ERROR` (RFC 9113, section 7).
const PROTOCOL_ERROR: u32 = 1;

/// A request with an error in its header fields.
struct MalformedRequest {
    /// Description of the error, for messages.
    fault: &'static str,
    /// Header fields that are replaced or added; an empty value leaves the field out.
    changes: &'static [(&'static str, &'static str)],
    /// Whether the broker may close the connection. Its HTTP/2 library does so if it cannot decode a
    /// field's name, which RFC 9113 allows (section 5.4.1).
    may_end_connection: bool,
}

/// Creates a malformed request after which the connection must stay open.
const fn malformed(
    fault: &'static str,
    changes: &'static [(&'static str, &'static str)],
) -> MalformedRequest {
    MalformedRequest {
        fault,
        changes,
        may_end_connection: false,
    }
}

impl MalformedRequest {
    /// Marks the request as one whose field has an invalid name, so that the broker may close the
    /// connection.
    const fn with_invalid_name(self) -> Self {
        MalformedRequest {
            may_end_connection: true,
            ..self
        }
    }
}

/// The requests that the test sends.
const MALFORMED_REQUESTS: [MalformedRequest; 15] = [
    malformed("no method", &[(":method", "")]),
    malformed("no scheme", &[(":scheme", "")]),
    malformed("no path", &[(":path", "")]),
    malformed(
        "a pseudo-header after the regular fields",
        &[(":protocol", "x")],
    ),
    malformed(
        "an unknown pseudo-header after the regular fields",
        &[(":odd", "x")],
    )
    .with_invalid_name(),
    malformed(
        "a pseudo-header of responses in a request",
        &[(":method", "POST"), ("a", "b"), (":status", "200")],
    ),
    // Fields that are specific to a connection (RFC 9113, section 8.2.2).
    malformed("a field connection", &[("connection", "close")]),
    malformed("a field keep-alive", &[("keep-alive", "1")]),
    malformed(
        "a field transfer-encoding",
        &[("transfer-encoding", "chunked")],
    ),
    malformed("a field upgrade", &[("upgrade", "h2c")]),
    malformed(
        "a field te with a value other than trailers",
        &[("te", "gzip")],
    ),
    malformed("capitals in a name", &[("X-Odd", "1")]).with_invalid_name(),
    malformed(
        "a content-length greater than the length of DATA",
        &[("content-length", "1000")],
    ),
    malformed(
        "a content-length less than the length of DATA",
        &[("content-length", "3")],
    ),
    malformed(
        "a content-length that is not a number",
        &[("content-length", "x")],
    ),
];

#[test]
fn malformed_requests_are_rejected_and_others_served() {
    let fixture = Fixture::with_part_duration(Duration::ZERO);
    let mut raw = fixture.connect_raw();
    for (number, request) in (0..).zip(&MALFORMED_REQUESTS) {
        let stream = 1 + 4 * number;
        let id = format!("bad{number}");
        raw.send(&query_headers(stream, &id, request.changes));
        raw.send(&encode_frame(DATA, END_STREAM, stream, QUERY_BODY));
        raw.send(&query_frames(stream + 2, &format!("good{number}")));
        match expect_rejection_and_answer(&mut raw, stream, request) {
            Rejection::OfStream => {}
            Rejection::OfConnection => raw = fixture.connect_raw(),
        }
    }
    let is_malformed = |id: &str| id.starts_with("bad");
    fixture.fleet.attempt_log(|log| {
        let mut attempts = log.attempts().iter();
        assert!(
            !attempts.any(|attempt| is_malformed(&attempt.part_id)),
            "a malformed request was served"
        );
    });
}

/// What the broker has ended because of a malformed request: the stream or the connection.
enum Rejection {
    OfStream,
    OfConnection,
}

/// Waits until the malformed request on `stream` is rejected and the valid one on the next stream is
/// answered, in any order, or until the connection is closed if the request allows that.
fn expect_rejection_and_answer(
    raw: &mut RawHttp2Client,
    stream: u32,
    request: &MalformedRequest,
) -> Rejection {
    let fault = request.fault;
    let (mut is_rejected, mut is_answered) = (false, false);
    while !(is_rejected && is_answered) {
        let frame = raw
            .next_frame(WAIT_TIMEOUT)
            .unwrap_or_else(|| panic!("{fault}: the connection was closed without GOAWAY"));
        if frame.frame_type == GOAWAY {
            let code = frame.error_code();
            assert!(
                code == PROTOCOL_ERROR && request.may_end_connection,
                "{fault}: unexpected GOAWAY with error code {code}"
            );
            return Rejection::OfConnection;
        }
        is_rejected |= frame.stream_id == stream && is_rejection(&frame, fault);
        is_answered |= frame.stream_id == stream + 2
            && frame.frame_type == DATA
            && frame.flags & END_STREAM != 0;
    }
    Rejection::OfStream
}

/// Returns whether a frame on a malformed request's stream rejects the request. Panics if it does so
/// with another error code or status than it should.
fn is_rejection(frame: &Frame, fault: &str) -> bool {
    match frame.frame_type {
        RST_STREAM => assert_eq!(frame.error_code(), PROTOCOL_ERROR, "{fault}"),
        HEADERS => assert_eq!(response_status(frame), 400, "{fault}"),
        _ => return false,
    }
    true
}
