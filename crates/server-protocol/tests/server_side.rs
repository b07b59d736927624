//! Encoding and decoding on the data server's side.

mod common;

use common::frame;
use server_protocol::broker::{self, ServerMessage, encode_call, encode_cancel};
use server_protocol::server::{BrokerMessage, PartRequest, decode, encode_part_response};
use server_protocol::{Decoded, PartStatus};

/// What decoding returns for a message whose frame is all of `bytes`.
fn whole<M>(message: M, bytes: &[u8]) -> Option<Decoded<M>> {
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
    assert_eq!(decode(&bytes), Ok(whole(call, &bytes)));

    let bytes = encode_cancel("9b.3");
    let cancel = BrokerMessage::Cancel("9b.3".into());
    assert_eq!(decode(&bytes), Ok(whole(cancel, &bytes)));

    let bytes = encode_part_response("9b.3", PartStatus::Rejected, 7, "");
    let Ok(Some(Decoded {
        message: ServerMessage::PartResponse(response),
        ..
    })) = broker::decode(&bytes)
    else {
        panic!()
    };
    assert_eq!(
        (response.id.as_str(), response.requests_in_flight),
        ("9b.3", Some(7.0))
    );
}

#[test]
fn malformed_call_is_rejected() {
    for payload in [
        &b""[..],
        b"a 1 d=1 5\nabc",
        b"a 1 d=1\nabc",
        b"a x d=1 0\n",
        b"a 1 e=1 0\n",
        b"a 1 d=1 0",
        b"\xff 1 d=1 0\n",
    ] {
        assert!(decode(&frame(b'm', payload)).is_err(), "{payload:?}");
    }
    assert!(decode(&frame(b'o', b"x")).is_err() && decode(&[255, 0, 0, 0]).is_err());
    assert_eq!(decode(&[0, 0, 0, 9, b'm']), Ok(None));
}
