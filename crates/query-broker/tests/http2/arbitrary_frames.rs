//! A property test with arbitrary frames, in any order and cut into pieces anywhere. Guards against a
//! program that crashes, stops serving other clients, or leaks memory.

use crate::fixture::Fixture;
use load_generator::raw_http2::{
    DATA, END_HEADERS, END_STREAM, GOAWAY, HEADERS, PING, QUERY_BODY, RST_STREAM, SETTINGS,
    WINDOW_UPDATE, encode_frame, query_fields, query_frames,
};
use proptest::prelude::*;
use proptest::test_runner::{Config, FileFailurePersistence, TestRunner};
use std::time::Duration;

/// Type of PRIORITY frames (RFC 9113, section 6.3).
const PRIORITY: u8 = 2;
/// The flag PADDED of DATA frames (RFC 9113, section 6.1).
const PADDED: u8 = 8;
/// Growth of the resident memory that is accepted after all connections are closed, in bytes: the
/// allocator may keep some memory.
const MEMORY_TOLERANCE: u64 = 16 << 20;

/// Generates ids of streams that a client may open, of streams that it may not open, and 0 for the
/// connection.
fn stream_ids() -> impl Strategy<Value = u32> + Clone {
    prop::sample::select(vec![0u32, 1, 3, 5, 7, 2, 0x7fff_ffff])
}

/// Generates a frame with any type, flags and payload.
fn any_frame() -> impl Strategy<Value = Vec<u8>> {
    let payload = prop::collection::vec(any::<u8>(), 0..60);
    (0u8..12, any::<u8>(), stream_ids(), payload)
        .prop_map(|(kind, flags, stream, payload)| encode_frame(kind, flags, stream, &payload))
}

/// Generates HEADERS frames with the header fields of a query. The flags `END_HEADERS` and
/// `END_STREAM` are each set or missing; a HEADERS frame of a valid query has only `END_HEADERS`.
fn headers_frame() -> impl Strategy<Value = Vec<u8>> {
    let flags = prop::sample::select(vec![END_HEADERS, END_HEADERS | END_STREAM, 0, END_STREAM]);
    (stream_ids(), flags, 0u32..1000).prop_map(|(stream, flags, id)| {
        let fields = query_fields(&format!("f{id}"), &[]);
        encode_frame(HEADERS, flags, stream, &fields)
    })
}

/// Generates DATA frames that contain a query's body without its first bytes. A frame has no flag,
/// `END_STREAM` or PADDED. With PADDED, the first byte of the payload counts as the length of the
/// padding.
fn data_frame() -> impl Strategy<Value = Vec<u8>> {
    let flags = prop::sample::select(vec![0, END_STREAM, PADDED]);
    (stream_ids(), flags, 0..QUERY_BODY.len())
        .prop_map(|(stream, flags, cut)| encode_frame(DATA, flags, stream, &QUERY_BODY[cut..]))
}

/// Generates a control frame of the correct length with any content.
fn control_frame() -> impl Strategy<Value = Vec<u8>> {
    let kinds = vec![PRIORITY, RST_STREAM, SETTINGS, PING, GOAWAY, WINDOW_UPDATE];
    let kind = prop::sample::select(kinds);
    (kind, any::<bool>(), stream_ids(), any::<u64>()).prop_map(|(kind, ack, stream, content)| {
        let length = match kind {
            PRIORITY => 5,
            RST_STREAM | WINDOW_UPDATE => 4,
            SETTINGS => 6,
            _ => 8,
        };
        encode_frame(
            kind,
            u8::from(ack),
            stream,
            &content.to_be_bytes()[..length],
        )
    })
}

/// Generates the frames of a valid query.
fn whole_query() -> impl Strategy<Value = Vec<u8>> {
    (0u32..50, 0u32..1000).prop_map(|(n, id)| query_frames(1 + 2 * n, &format!("w{id}")))
}

/// Generates sequences of up to 29 frames or valid queries.
fn frame_sequences() -> impl Strategy<Value = Vec<Vec<u8>>> {
    let any_item = prop_oneof![
        2 => any_frame(),
        3 => headers_frame(),
        3 => data_frame(),
        3 => control_frame(),
        3 => whole_query(),
    ];
    prop::collection::vec(any_item, 1..30)
}

#[test]
fn arbitrary_frames_leak_no_memory_and_other_clients_are_served() {
    let fixture = Fixture::with_part_duration(Duration::ZERO);
    let check_served = |n: usize| fixture.run(fixture.expect_served(&format!("serves{n}"), n % 8));
    (0..50).for_each(check_served);
    let before = fixture.broker.resident_memory().unwrap();
    let regressions = FileFailurePersistence::Direct("tests/http2/arbitrary_frames.regressions");
    let config = Config {
        cases: 150,
        failure_persistence: Some(Box::new(regressions)),
        ..Config::default()
    };
    let n = std::cell::Cell::new(50);
    TestRunner::new(config)
        .run(&(frame_sequences(), 1usize..400), |(frames, cut)| {
            let mut raw = fixture.connect_raw();
            for piece in frames.concat().chunks(cut) {
                if raw.try_send(piece).is_err() {
                    break;
                }
            }
            // About half of the connections read a frame; the others are closed immediately.
            if cut % 2 == 0 {
                raw.next_frame(Duration::from_millis(20));
            }
            drop(raw);
            n.set(n.get() + 1);
            check_served(n.get());
            Ok(())
        })
        .unwrap();
    let after = fixture.broker.resident_memory().unwrap();
    assert!(
        after < before + MEMORY_TOLERANCE,
        "the resident memory grew from {before} to {after} bytes"
    );
}
