//! Tests of encoding and decoding on the data server's side.

mod common;

use common::frame;
use server_protocol::broker::{self, ServerMessage, encode_call, encode_cancel};
use server_protocol::server::{
    BrokerMessage, PartRequest, ProbeKind, decode, encode_frame_rejection, encode_part_response,
    encode_probe_response,
};
use server_protocol::{Decoded, InvalidFrame, PartStatus};

/// Returns the expected result of decoding a message whose frame consists of all of `bytes`.
fn decoded_from<M>(message: M, bytes: &[u8]) -> Option<Decoded<M>> {
    Some(Decoded {
        message,
        frame_len: bytes.len(),
    })
}

#[test]
fn each_side_decodes_what_the_other_encodes() {
    let sent = broker::PartRequest {
        id: "9b.3",
        shard: 3,
        wait_ms: 240,
        idempotency_key: Some("5c0f"),
        text: "c41e\n77",
    };
    let sent_without_key = broker::PartRequest {
        idempotency_key: None,
        ..sent.clone()
    };
    let bytes = encode_call([sent, sent_without_key]);
    let received = PartRequest {
        id: "9b.3".into(),
        shard: 3,
        wait_ms: 240,
        idempotency_key: Some("5c0f".into()),
        text: "c41e\n77".into(),
    };
    let received_without_key = PartRequest {
        idempotency_key: None,
        ..received.clone()
    };
    let call = BrokerMessage::Call(vec![received, received_without_key]);
    assert_eq!(decode(&bytes), Ok(decoded_from(call, &bytes)));

    let bytes = encode_cancel("9b.3");
    let cancel = BrokerMessage::Cancel("9b.3".into());
    assert_eq!(decode(&bytes), Ok(decoded_from(cancel, &bytes)));

    let bytes = encode_part_response("9b.3", PartStatus::Rejected, 7, "");
    let decoded = broker::decode(&bytes);
    let Ok(Some(Decoded {
        message: ServerMessage::PartResponse(response),
        ..
    })) = &decoded
    else {
        panic!("expected the response to a part, found {decoded:?}")
    };
    assert_eq!(
        (response.id.as_str(), response.requests_in_flight),
        ("9b.3", Some(7.0))
    );
}

#[test]
fn frame_of_an_unknown_kind_is_rejected_once_it_is_complete() {
    let bytes = frame(b'x', b"abc");
    for cut in 0..bytes.len() {
        assert_eq!(decode(&bytes[..cut]), Ok(None));
    }
    assert_eq!(decode(&bytes), Err(InvalidFrame::UnknownKind));
    // Only data servers send responses and rejections.
    for kind in [b'q', b'r'] {
        assert_eq!(decode(&frame(kind, b"")), Err(InvalidFrame::UnknownKind));
    }
}

#[test]
fn probe_is_decoded_and_its_response_is_encoded() {
    for (kind, letter, response) in [
        (ProbeKind::Health, b'o', &b"good"[..]),
        (ProbeKind::Load, b'p', b"inflight=7"),
    ] {
        let bytes = frame(letter, b"");
        let probe = BrokerMessage::Probe(kind);
        assert_eq!(decode(&bytes), Ok(decoded_from(probe, &bytes)));
        assert_eq!(encode_probe_response(kind, 7), frame(letter, response));
    }
    assert_eq!(encode_frame_rejection("too long"), frame(b'r', b"too long"));
}

#[test]
fn malformed_call_is_rejected() {
    for payload in [
        // No part.
        &b""[..],
        // A text shorter than its declared length.
        b"a 1 d=1 5\nabc",
        // No length of the text.
        b"a 1 d=1\nabc",
        // A shard that is not a number.
        b"a x d=1 0\n",
        // An unknown option.
        b"a 1 e=1 0\n",
        // No line feed after the line of the part.
        b"a 1 d=1 0",
        // An id that is not UTF-8.
        b"\xff 1 d=1 0\n",
    ] {
        assert!(
            decode(&frame(b'm', payload)).is_err(),
            "the decoder must reject {payload:?}"
        );
    }
    // A health probe with a payload, and a length above the maximum.
    assert!(decode(&frame(b'o', b"x")).is_err() && decode(&[255, 0, 0, 0]).is_err());
    // A call of which only the length and the kind have arrived.
    assert_eq!(decode(&[0, 0, 0, 9, b'm']), Ok(None));
}
