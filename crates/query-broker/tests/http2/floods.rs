//! Tests of floods of frames on a connection. The broker has to close such a connection within three
//! seconds and to log the flood, and other clients must be served.

use crate::fixture::{Fixture, WAIT_TIMEOUT, query_headers};
use load_generator::raw_http2::{
    CONTINUATION, DATA, END_HEADERS, END_STREAM, GOAWAY, HEADERS, PING, PREFACE, QUERY_BODY,
    RST_STREAM, RawHttp2Client, SETTINGS, WINDOW_UPDATE, encode_fields, encode_frame, query_fields,
    query_frames,
};
use std::time::{Duration, Instant};

/// The error code `ENHANCE_YOUR_CALM` (RFC 9113, section 7).
const ENHANCE_YOUR_CALM: u32 = 11;
/// The error code CANCEL (RFC 9113, section 7).
const CANCEL: u32 = 8;
/// Type of PRIORITY frames (RFC 9113, section 6.3).
const PRIORITY: u8 = 2;
/// Time for which a test waits until the broker closes a flooded or silent connection. It is far
/// longer than the broker needs, even on a slow machine.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Floods a connection until the broker closes it, and then checks that other clients are served.
/// `bytes` returns the n-th piece of the flood, counted from 0, which is one frame or a few frames.
/// `flood_name` is for messages.
///
/// The broker has to close the connection within three seconds, but the test fails only after
/// [`CLOSE_TIMEOUT`]. `query-broker bench` shows the real duration.
fn flood(fixture: &Fixture, flood_name: &str, bytes: impl Fn(u32) -> Vec<u8>) {
    let mut raw = fixture.connect_raw();
    let start = Instant::now();
    let mut n = 0;
    while start.elapsed() < CLOSE_TIMEOUT {
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
        start.elapsed() < CLOSE_TIMEOUT,
        "{flood_name}: the connection has not been closed within {CLOSE_TIMEOUT:?}"
    );
    let frames = raw.frames_until_close(CLOSE_TIMEOUT);
    // The GOAWAY may be missing: if the broker closes the connection while bytes of the flood are
    // unread, the connection is reset, and the reset may discard the GOAWAY before it is read here.
    if let Some(goaway) = frames.iter().rfind(|f| f.frame_type == GOAWAY) {
        assert_eq!(goaway.error_code(), ENHANCE_YOUR_CALM, "{flood_name}");
    }
    let id = format!("after {flood_name}").replace(' ', "-");
    fixture.run(fixture.expect_served(&id, 1));
}

#[test]
fn floods_of_frames_without_payload_end_the_connection() {
    let mut fixture = Fixture::with_part_duration(Duration::ZERO);
    for (flood_name, bytes) in [
        ("PING", encode_frame(PING, 0, 0, &[0; 8])),
        ("SETTINGS", encode_frame(SETTINGS, 0, 0, &[])),
        ("PRIORITY", encode_frame(PRIORITY, 0, 1, &[0, 0, 0, 3, 1])),
        (
            "WINDOW_UPDATE",
            encode_frame(WINDOW_UPDATE, 0, 0, &1u32.to_be_bytes()),
        ),
        ("unknown frames", encode_frame(77, 0, 0, b"x")),
    ] {
        // The log has at most one line a second for the same event.
        std::thread::sleep(Duration::from_millis(1100));
        flood(&fixture, flood_name, |_| bytes.clone());
        fixture
            .broker
            .wait_for_log(&format!("reason=\"a flood of {flood_name}\""))
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
            encode_frame(RST_STREAM, 0, stream, &CANCEL.to_be_bytes()),
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
        let headers = if n == 0 {
            query_headers(1, "e", &[])
        } else {
            Vec::new()
        };
        [headers, encode_frame(DATA, 0, 1, &[])].concat()
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

/// Guards against a header block of a few bytes that decodes to a long list: it adds a field to the
/// dynamic table of HPACK, and refers to that field 2000 times.
#[test]
fn header_bomb_is_not_served() {
    let fixture = Fixture::with_part_duration(Duration::ZERO);
    let mut raw = fixture.connect_raw();
    let mut block = query_fields("bomb", &[]);
    // A literal field with incremental indexing (RFC 7541, section 6.2.1). 0xbe then refers to its
    // entry in the dynamic table.
    block.extend([0x40, 4]);
    block.extend(b"long");
    block.push(120);
    block.extend([b'x'; 120]);
    block.extend([0xbe; 2000]);
    raw.send(&encode_frame(HEADERS, END_HEADERS, 1, &block));
    raw.send(&encode_frame(DATA, END_STREAM, 1, QUERY_BODY));
    raw.send(&query_frames(3, "usual"));
    // The broker may reject the request on stream 1, or close the whole connection. Waits until the
    // valid query on stream 3 has a response or is reset, or until the broker announces the close.
    let mut responded_streams = Vec::new();
    while let Some(next) = raw.next_frame(WAIT_TIMEOUT) {
        if next.frame_type == HEADERS || next.frame_type == RST_STREAM {
            responded_streams.push(next.stream_id);
        }
        if next.frame_type == GOAWAY || responded_streams.contains(&3) {
            break;
        }
    }
    assert!(
        fixture
            .fleet
            .attempt_log(|log| !log.attempts().iter().any(|a| a.part_id.starts_with("bomb"))),
        "the request with the oversized header list was served"
    );
    fixture.run(fixture.expect_served("after", 1));
}

/// Guards against connections that take a slot for ever: they send nothing, or stop in the middle of
/// the preface, of a frame or of a header block. The broker must close them.
#[test]
fn silent_connections_are_closed() {
    let mut fixture = Fixture::with_part_duration(Duration::ZERO);
    let half_frame = &query_headers(1, "a", &[])[..20];
    let open_block = encode_frame(HEADERS, 0, 1, &query_fields("b", &[]));
    let preface = PREFACE;
    let preface_and_settings = [preface, &encode_frame(SETTINGS, 0, 0, &[])].concat();
    let mut clients: Vec<RawHttp2Client> = [
        Vec::new(),
        preface[..10].to_vec(),
        preface.to_vec(),
        preface_and_settings.clone(),
        [&preface_and_settings, half_frame].concat(),
        [preface_and_settings, open_block].concat(),
    ]
    .iter()
    .map(|bytes| {
        let mut raw = fixture.connect_silent();
        raw.send(bytes);
        raw
    })
    .collect();
    for raw in &mut clients {
        raw.frames_until_close(CLOSE_TIMEOUT);
    }
    fixture
        .broker
        .wait_for_log("event=http2_request_stalled")
        .unwrap();
}

/// Connections that send nothing take all slots. Guards against a broker that rejects regular clients
/// for this reason: when a client connects and sends a query, the broker must close one of the silent
/// connections and use its slot.
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
