//! Floods: each is bounded, ended within three seconds and logged, and other clients are served.

use crate::fixture::{BOUND, Fixture, query_headers};
use load_generator::raw_http2::{
    CONTINUATION, DATA, END_HEADERS, GOAWAY, HEADERS, PING, PREFACE, QUERY_BODY, RST_STREAM,
    RawHttp2Client, SETTINGS, WINDOW_UPDATE, encode_fields, encode_frame, query_fields,
    query_frames,
};
use std::time::{Duration, Instant};

/// The error code `ENHANCE_YOUR_CALM` (RFC 9113, section 7).
const ENHANCE_YOUR_CALM: u32 = 11;
/// Bound on the end of a flooded or silent connection.
const CLOSE_BOUND: Duration = Duration::from_secs(20);

/// Sends the same frames again and again until the connection ends. A slow machine needs longer
/// than the three seconds in which the broker has to end it, so that the bound is far longer;
/// `query-broker bench` shows the real duration.
fn flood(fixture: &Fixture, what: &str, bytes: impl Fn(u32) -> Vec<u8>) {
    let mut raw = fixture.connect_raw();
    let start = Instant::now();
    let mut n = 0;
    while start.elapsed() < CLOSE_BOUND {
        let mut burst = Vec::new();
        for _ in 0..64 {
            burst.extend(bytes(n));
            n += 1;
        }
        if raw.try_send(&burst).is_err() {
            break;
        }
    }
    assert!(
        start.elapsed() < CLOSE_BOUND,
        "{what}: the connection is not ended"
    );
    let frames = raw.frames_until_close(CLOSE_BOUND);
    if let Some(goaway) = frames.iter().rfind(|f| f.frame_type == GOAWAY) {
        assert_eq!(goaway.error_code(), ENHANCE_YOUR_CALM, "{what}");
    }
    let id = format!("after {what}").replace(' ', "-");
    fixture.run(fixture.expect_served(&id, 1));
}

#[test]
fn floods_of_frames_without_payload_end_the_connection() {
    let mut fixture = Fixture::with_part_duration(Duration::ZERO);
    for (what, bytes) in [
        ("PING", encode_frame(PING, 0, 0, &[0; 8])),
        ("SETTINGS", encode_frame(SETTINGS, 0, 0, &[])),
        ("PRIORITY", encode_frame(2, 0, 1, &[0, 0, 0, 3, 1])),
        (
            "WINDOW_UPDATE",
            encode_frame(WINDOW_UPDATE, 0, 0, &1u32.to_be_bytes()),
        ),
        ("unknown frames", encode_frame(77, 0, 0, b"x")),
    ] {
        // An event has one line a second.
        std::thread::sleep(Duration::from_millis(1100));
        flood(&fixture, what, |_| bytes.clone());
        fixture
            .broker
            .wait_for_log(&format!("reason=\"a flood of {what}\""))
            .or_else(|_| fixture.broker.wait_for_log("event=http2_flood_detected"))
            .unwrap();
    }
}

#[test]
fn rapid_resets_end_the_connection() {
    let mut fixture = Fixture::with_part_duration(Duration::ZERO);
    flood(&fixture, "resets", |n| {
        let stream = 1 + 2 * n;
        [
            query_frames(stream, &format!("r{n}")),
            encode_frame(RST_STREAM, 0, stream, &8u32.to_be_bytes()),
        ]
        .concat()
    });
    fixture
        .broker
        .wait_for_log("event=http2_flood_detected")
        .unwrap();
    fixture.check_invariants();
}

#[test]
fn flood_of_empty_data_ends_the_connection() {
    let fixture = Fixture::with_part_duration(Duration::ZERO);
    flood(&fixture, "empty DATA", |n| {
        let open = if n == 0 {
            query_headers(1, "e", &[])
        } else {
            Vec::new()
        };
        [open, encode_frame(DATA, 0, 1, &[])].concat()
    });
}

#[test]
fn endless_header_block_ends_the_connection() {
    let fixture = Fixture::with_part_duration(Duration::ZERO);
    flood(&fixture, "CONTINUATION", |n| match n {
        0 => encode_frame(HEADERS, 0, 1, &query_fields("c", &[])),
        n => encode_frame(
            CONTINUATION,
            0,
            1,
            &encode_fields(&[(&format!("a{n}"), "b")]),
        ),
    });
    flood(&fixture, "empty CONTINUATION", |n| match n {
        0 => encode_frame(HEADERS, 0, 1, &query_fields("d", &[])),
        _ => encode_frame(CONTINUATION, 0, 1, &[]),
    });
}

/// A few bytes that decode to a long list: a field in the dynamic table, and hundreds of references
/// to it.
#[test]
fn header_bomb_is_not_served() {
    let fixture = Fixture::with_part_duration(Duration::ZERO);
    let mut raw = fixture.connect_raw();
    let mut block = query_fields("bomb", &[]);
    // A literal with incremental indexing (RFC 7541, section 6.2.1): the entry that 0xbe then
    // names.
    block.extend([0x40, 4]);
    block.extend(b"long");
    block.push(120);
    block.extend([b'x'; 120]);
    block.extend([0xbe; 2000]);
    raw.send(&encode_frame(HEADERS, END_HEADERS, 1, &block));
    raw.send(&encode_frame(DATA, 1, 1, QUERY_BODY));
    raw.send(&query_frames(3, "usual"));
    let mut ended_streams = Vec::new();
    while let Some(next) = raw.next_frame(BOUND) {
        if next.frame_type == HEADERS || next.frame_type == RST_STREAM {
            ended_streams.push(next.stream_id);
        }
        if next.frame_type == GOAWAY || ended_streams.contains(&3) {
            break;
        }
    }
    assert!(
        fixture
            .fleet
            .attempt_log(|log| !log.attempts().iter().any(|a| a.part_id.starts_with("bomb"))),
        "it was served"
    );
    fixture.run(fixture.expect_served("after", 1));
}

/// Connections that send nothing, or stop in the middle of the preface or of a frame.
#[test]
fn silent_connections_are_closed() {
    let mut fixture = Fixture::with_part_duration(Duration::ZERO);
    let half_frame = &query_headers(1, "a", &[])[..20];
    let open_block = encode_frame(HEADERS, 0, 1, &query_fields("b", &[]));
    let preface = PREFACE;
    let settled = [preface, &encode_frame(SETTINGS, 0, 0, &[])].concat();
    let mut clients: Vec<RawHttp2Client> = [
        Vec::new(),
        preface[..10].to_vec(),
        preface.to_vec(),
        settled.clone(),
        [&settled, half_frame].concat(),
        [settled, open_block].concat(),
    ]
    .iter()
    .map(|bytes| {
        let mut raw = fixture.connect_silent();
        raw.send(bytes);
        raw
    })
    .collect();
    for raw in &mut clients {
        raw.frames_until_close(CLOSE_BOUND);
    }
    fixture
        .broker
        .wait_for_log("event=http2_request_stalled")
        .unwrap();
}

/// More connections than there are slots: those that send queries are served in place of those that
/// send nothing.
#[test]
fn silent_connections_are_evicted_when_slots_are_exhausted() {
    let fixture = Fixture::start(
        test_fleet::FleetPlan {
            part_duration: Duration::ZERO,
            ..Default::default()
        },
        test_fleet::Deployment::default(),
        "listen-http2 127.0.0.1:0\nhttp2-connections 4\n",
    );
    let silent: Vec<RawHttp2Client> = (0..12).map(|_| fixture.connect_silent()).collect();
    fixture.run(async {
        for shard in 0..8 {
            fixture.expect_served(&format!("q{shard}"), shard).await;
        }
    });
    drop(silent);
}
