//! Arbitrary frames, in any order and cut anywhere: the program survives, other clients are served, and no memory is
//! lost.

use crate::fixture::Fixture;
use load_generator::raw_http2::{QUERY_BODY, encode_frame, query_fields, query_frames};
use proptest::prelude::*;
use proptest::test_runner::{Config, FileFailurePersistence, TestRunner};
use std::time::Duration;

/// Memory that the allocator may keep after all connections, in bytes.
const MEMORY_TOLERANCE: u64 = 16 << 20;

fn frame_sequences() -> impl Strategy<Value = Vec<Vec<u8>>> {
    let stream = prop::sample::select(vec![0u32, 1, 3, 5, 7, 2, 0x7fff_ffff]);
    let any_frame = (
        0u8..12,
        any::<u8>(),
        stream.clone(),
        prop::collection::vec(any::<u8>(), 0..60),
    )
        .prop_map(|(kind, flags, stream, rest)| encode_frame(kind, flags, stream, &rest));
    let headers = (
        stream.clone(),
        prop::sample::select(vec![4u8, 5, 0, 1]),
        0u32..1000,
    )
        .prop_map(|(stream, flags, n)| {
            encode_frame(1, flags, stream, &query_fields(&format!("f{n}"), &[]))
        });
    let data = (
        stream.clone(),
        prop::sample::select(vec![0u8, 1, 8]),
        0..QUERY_BODY.len(),
    )
        .prop_map(|(stream, flags, cut)| encode_frame(0, flags, stream, &QUERY_BODY[cut..]));
    let control = (
        prop::sample::select(vec![2u8, 3, 4, 6, 7, 8]),
        any::<bool>(),
        stream,
        any::<u64>(),
    )
        .prop_map(|(kind, ack, stream, n)| {
            let rest = n.to_be_bytes();
            let length = match kind {
                2 => 5,
                3 | 8 => 4,
                4 => 6,
                _ => 8,
            };
            encode_frame(kind, u8::from(ack), stream, &rest[..length])
        });
    let whole_query =
        (0u32..50, 0u32..1000).prop_map(|(n, id)| query_frames(1 + 2 * n, &format!("w{id}")));
    let any_item =
        prop_oneof![2 => any_frame, 3 => headers, 3 => data, 3 => control, 3 => whole_query];
    prop::collection::vec(any_item, 1..30)
}

#[test]
fn arbitrary_frames_leave_no_memory_behind_and_other_clients_are_served() {
    let fixture = Fixture::with_part_duration(Duration::ZERO);
    let check_served = |n: usize| fixture.run(fixture.expect_served(&format!("serves{n}"), n % 8));
    (0..50).for_each(check_served);
    let before = fixture.broker.resident_memory().unwrap();
    let found = FileFailurePersistence::Direct("tests/http2/arbitrary_frames.regressions");
    let config = Config {
        cases: 150,
        failure_persistence: Some(Box::new(found)),
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
            // Half of the connections read a frame; the others are closed at once.
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
        "{before} bytes before, {after} after"
    );
}
