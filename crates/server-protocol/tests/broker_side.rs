//! Tests of encoding and decoding on the broker's side.

mod common;

use common::frame;
use fanout_policy::api::Outcome;
use server_protocol::Decoded;
use server_protocol::broker::{
    MAX_RESPONSE_LINE_LEN, PartRequest, PartResponse, ServerMessage, decode, encode_call,
    encode_cancel, may_continue_value,
};

/// Decodes a frame. Panics unless it is a complete and valid response to a part.
fn decode_part_response(bytes: &[u8]) -> PartResponse {
    match decode(bytes) {
        Ok(Some(Decoded {
            message: ServerMessage::PartResponse(response),
            ..
        })) => response,
        other => panic!("expected the response to a part, found {other:?}"),
    }
}

#[test]
fn call_carries_a_line_and_the_text_for_each_part() {
    let part = PartRequest {
        id: "9b.3",
        shard: 3,
        wait_ms: 240,
        idempotency_key: Some("5c0f"),
        text: "c41e77d0",
    };
    let next = PartRequest {
        id: "9b.4",
        shard: 4,
        idempotency_key: None,
        text: "é",
        ..part.clone()
    };
    let bytes = encode_call([part, next]);
    assert_eq!(&bytes[..5], &[0, 0, 0, 48, b'm']);
    assert_eq!(
        &bytes[5..],
        "9b.3 3 d=240,k=5c0f 8\nc41e77d09b.4 4 d=240 2\né".as_bytes()
    );
    assert_eq!(encode_cancel("9b.3"), b"\0\0\0\x05n9b.3");
}

#[test]
fn response_is_decoded_only_when_complete() {
    let bytes = frame(b'q', b"9b.3 good 1840277719 rif=7,rate=0.61\n5be2");
    for cut in 0..bytes.len() {
        assert_eq!(decode(&bytes[..cut]), Ok(None));
    }
    let response = PartResponse {
        id: "9b.3".to_owned(),
        outcome: Outcome::Served,
        requests_in_flight: Some(7.0),
        value: "5be2".to_owned(),
    };
    let decoded = Decoded {
        message: ServerMessage::PartResponse(response),
        frame_len: bytes.len(),
    };
    assert_eq!(decode(&bytes), Ok(Some(decoded)));
}

/// The rest of an invalid frame may never arrive, so a frame must be reported as invalid as soon as
/// its first bytes show it.
#[test]
fn invalid_frame_is_detected_from_its_first_bytes() {
    let long_line = [&[0, 1, 0, 0, b'q'][..], &[b'x'; MAX_RESPONSE_LINE_LEN + 1]].concat();
    for input in [
        // A length above the maximum.
        &[179, 0, 0, 0][..],
        // The start of a length above the maximum.
        &[179],
        &[0, 2],
        // An unknown kind.
        &[0, 0, 0, 72, 1],
        // A response to a probe. Brokers send no probes.
        &[0, 0, 0, 5, b'o'],
        // A response whose line exceeds the maximum length.
        &long_line,
    ] {
        assert!(decode(input).is_err(), "the decoder must reject {input:?}");
    }
}

#[test]
fn malformed_frame_is_an_error_and_malformed_load_report_is_ignored() {
    let noise = frame(b'q', b"9b.3 good 1 \xff rif=3 \x01\n5be2");
    assert_eq!(decode_part_response(&noise).requests_in_flight, None);
    let other_name = frame(b'q', b"9b.3 good 1 util=2,inflight=3.5\n5be2");
    assert_eq!(
        decode_part_response(&other_name).requests_in_flight,
        Some(3.5)
    );
    for payload in [
        // No line feed after the line.
        &b"9b.3 good 1 -"[..],
        // No score.
        b"9b.3 good -\n",
        // An unknown status.
        b"9b.3 fine 1 -\n",
        // An empty status.
        b"9b.3  1 -\n",
        // A score that is not a number.
        b"9b.3 good x -\n",
        // An id that is not UTF-8.
        b"\xff good 1 -\n",
        // A value that is not UTF-8.
        b"9b.3 good 1 -\n\xff",
        // A value that ends with the start of another frame.
        b"9b.3 good 1 -\n5be2\0\0\0\x10",
    ] {
        assert!(
            decode(&frame(b'q', payload)).is_err(),
            "the decoder must reject {payload:?}"
        );
    }
    assert!(decode(&frame(b'x', b"")).is_err());
    assert!(decode(&[0, 0, 0, 0]).is_err());
    assert!(decode(&[255, 0, 0, 0]).is_err());
    for report in ["-", "rif=NaN", "rif=-1", "rif", "rate=1"] {
        let bytes = frame(b'q', format!("i later 0 {report}\n").as_bytes());
        let response = decode_part_response(&bytes);
        assert_eq!(
            (response.requests_in_flight, response.outcome),
            (None, Outcome::Overloaded)
        );
    }
}

/// If a frame is too short, the rest of its value follows it, and then possibly another frame.
#[test]
fn rest_of_a_value_is_text_up_to_the_next_frame() {
    for rest in [&b"5be2"[..], b"5", b"5be2\0\0\0\x10q", b"\xc3"] {
        assert!(may_continue_value(rest), "{rest:?} may belong to a value");
    }
    for other in [&b""[..], b"\0\0\0\x10q", b"\0", b"\xff\xfe"] {
        assert!(!may_continue_value(other), "{other:?} belongs to no value");
    }
}
