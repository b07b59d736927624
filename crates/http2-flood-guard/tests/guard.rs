//! Tests which frames the guard accepts and which it reports. The frames are encoded by the tests.

use broker_types::time::Timestamp;
use http2_flood_guard::{FloodGuard, FloodLimits, FrameKind, PREFACE, Violation};
use proptest::prelude::*;

const LIMITS: FloodLimits = FloodLimits {
    burst_tokens: 10,
    tokens_per_second: 5,
    tokens_per_response: 2,
    max_header_block_bytes: 100,
};

/// Returns the timestamp `micros` microseconds after the origin of the clock.
const fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

/// Returns the timestamp `seconds` seconds after the origin of the clock.
const fn seconds(seconds: u64) -> Timestamp {
    Timestamp::from_micros(seconds * 1_000_000)
}

// Frame types (RFC 9113, section 6).
const DATA: u8 = 0;
const HEADERS: u8 = 1;
const PRIORITY: u8 = 2;
const RST_STREAM: u8 = 3;
const SETTINGS: u8 = 4;
const PING: u8 = 6;
const WINDOW_UPDATE: u8 = 8;
const CONTINUATION: u8 = 9;
const UNKNOWN: u8 = 77;

// Flags of frames.
const NO_FLAGS: u8 = 0;
const ACK: u8 = 0x1;
const END_STREAM: u8 = 0x1;
const END_HEADERS: u8 = 0x4;

/// Length of a frame header, in bytes.
const FRAME_HEADER_BYTES: usize = 9;

/// Encodes a frame on stream 1 with a payload of zeros.
fn frame(frame_type: u8, flags: u8, payload_bytes: usize) -> Vec<u8> {
    let mut bytes = (payload_bytes as u32).to_be_bytes()[1..].to_vec();
    bytes.extend([frame_type, flags, 0, 0, 0, 1]);
    bytes.resize(FRAME_HEADER_BYTES + payload_bytes, 0);
    bytes
}

/// Creates a guard that has received the preface and SETTINGS at time 0.
fn guard_after_settings() -> FloodGuard {
    let mut guard = FloodGuard::new(at(0), LIMITS);
    guard
        .on_received(
            at(0),
            &[&PREFACE[..], &frame(SETTINGS, NO_FLAGS, 6)].concat(),
        )
        .unwrap();
    guard
}

/// A violation that the guard reported when the same input was passed to it repeatedly.
#[derive(Debug, PartialEq, Eq)]
struct Rejected {
    /// Number of times that the input was accepted before.
    accepted_before: usize,
    violation: Violation,
}

impl Rejected {
    /// Creates the report of a flood of `kind`.
    fn flood(accepted_before: usize, kind: FrameKind) -> Self {
        Rejected {
            accepted_before,
            violation: Violation::Flood(kind),
        }
    }
}

/// Passes the same bytes to a guard `times` times, or until it reports a violation.
fn send_repeatedly(
    guard: &mut FloodGuard,
    now: Timestamp,
    bytes: &[u8],
    times: usize,
) -> Result<(), Rejected> {
    for accepted_before in 0..times {
        guard
            .on_received(now, bytes)
            .map_err(|violation| Rejected {
                accepted_before,
                violation,
            })?;
    }
    Ok(())
}

/// The initial SETTINGS frame takes one of the ten tokens, so nine further frames are accepted. At
/// a rate of five frames per second, the bucket is refilled as fast as it is emptied.
#[test]
fn frames_without_request_data_are_limited_by_tokens() {
    for (bytes, kind) in [
        (frame(PING, NO_FLAGS, 8), FrameKind::Ping),
        (frame(SETTINGS, NO_FLAGS, 0), FrameKind::Settings),
        (frame(PRIORITY, NO_FLAGS, 5), FrameKind::Priority),
        (frame(RST_STREAM, NO_FLAGS, 4), FrameKind::ResetStream),
        (frame(DATA, NO_FLAGS, 0), FrameKind::Data),
        (frame(WINDOW_UPDATE, NO_FLAGS, 4), FrameKind::WindowUpdate),
        (frame(UNKNOWN, NO_FLAGS, 3), FrameKind::Other),
    ] {
        let mut guard = guard_after_settings();
        assert_eq!(
            send_repeatedly(&mut guard, at(0), &bytes, 1000),
            Err(Rejected::flood(9, kind))
        );
        let mut slow = guard_after_settings();
        assert!(
            (1..1000).all(|s| send_repeatedly(&mut slow, seconds(s), &bytes, 5).is_ok()),
            "{kind} at the refill rate must be accepted"
        );
    }
}

#[test]
fn acknowledgements_and_data_cost_no_tokens() {
    let mut guard = guard_after_settings();
    for bytes in [
        frame(PING, ACK, 8),
        frame(SETTINGS, ACK, 0),
        frame(DATA, NO_FLAGS, 50),
        frame(DATA, END_STREAM, 0),
        frame(HEADERS, END_STREAM | END_HEADERS, 20),
    ] {
        assert_eq!(send_repeatedly(&mut guard, at(0), &bytes, 1000), Ok(()));
    }
}

/// Guards against "rapid reset" floods, in which a client cancels each request immediately after
/// sending it. A client that gets a response for each cancelled request is not limited.
#[test]
fn resets_are_limited_by_responses() {
    let request_and_reset = [
        frame(HEADERS, END_STREAM | END_HEADERS, 20),
        frame(RST_STREAM, NO_FLAGS, 4),
    ]
    .concat();
    assert_eq!(
        send_repeatedly(&mut guard_after_settings(), at(0), &request_and_reset, 1000),
        Err(Rejected::flood(9, FrameKind::ResetStream))
    );
    let mut ordinary = guard_after_settings();
    for _ in 0..1000 {
        ordinary.on_received(at(0), &request_and_reset).unwrap();
        ordinary.on_response_sent(0);
    }
}

#[test]
fn header_block_without_end_is_reported() {
    let mut guard = guard_after_settings();
    guard
        .on_received(at(0), &frame(HEADERS, END_STREAM, 60))
        .unwrap();
    assert_eq!(
        guard.on_received(at(0), &frame(CONTINUATION, NO_FLAGS, 60)),
        Err(Violation::HeaderBlockTooLong)
    );
    let mut guard = guard_after_settings();
    guard
        .on_received(at(0), &frame(HEADERS, END_STREAM, 1))
        .unwrap();
    assert_eq!(
        send_repeatedly(&mut guard, at(0), &frame(CONTINUATION, NO_FLAGS, 0), 1000),
        Err(Rejected::flood(9, FrameKind::Continuation))
    );
}

/// Bytes that start with the method of an HTTP/1 request, in upper case, count as such a request,
/// even if the rest of them is not valid HTTP/1.
#[test]
fn http1_request_is_distinguished_from_invalid_preface() {
    for (bytes, violation) in [
        (&b"GET / HTTP/1.1\r\n"[..], Violation::Http1Request),
        (b"POST /lookup HTTP/1.1\r\n", Violation::Http1Request),
        (b"PRI * HTTP/1.1\r\n", Violation::Http1Request),
        (b"\x16\x03\x01\x02\x00", Violation::InvalidPreface),
        (b"get / HTTP/1.1\r\n", Violation::InvalidPreface),
        (b"PRI * HTTP/2.0\r\n\r\nXX", Violation::Http1Request),
    ] {
        assert_eq!(
            FloodGuard::new(at(0), LIMITS).on_received(at(0), bytes),
            Err(violation),
            "{bytes:?}"
        );
    }
    let mut guard = FloodGuard::new(at(0), LIMITS);
    assert_eq!(
        guard.on_received(at(0), &[&PREFACE[..], &frame(PING, NO_FLAGS, 8)].concat()),
        Err(Violation::MissingSettings)
    );
}

#[test]
fn incomplete_since_is_start_of_incomplete_element() {
    let mut guard = FloodGuard::new(at(5), LIMITS);
    assert_eq!(
        guard.incomplete_since(),
        Some(at(5)),
        "the preface counts as incomplete from the creation of the guard"
    );
    guard.on_received(at(6), PREFACE).unwrap();
    assert_eq!(
        guard.incomplete_since(),
        Some(at(5)),
        "SETTINGS, which completes the preface, has not arrived"
    );
    guard
        .on_received(at(7), &frame(SETTINGS, NO_FLAGS, 0))
        .unwrap();
    assert_eq!(guard.incomplete_since(), None);
    guard.on_received(at(7), &frame(PING, NO_FLAGS, 8)).unwrap();
    assert_eq!(
        guard.incomplete_since(),
        None,
        "a complete PING frame leaves nothing incomplete"
    );
    let headers = frame(HEADERS, NO_FLAGS, 20);
    guard.on_received(at(8), &headers[..12]).unwrap();
    guard.on_received(at(9), &headers[12..]).unwrap();
    assert_eq!(
        guard.incomplete_since(),
        Some(at(8)),
        "the header block is incomplete since its first byte, until a frame with END_HEADERS"
    );
    guard
        .on_received(at(10), &frame(CONTINUATION, END_HEADERS, 0))
        .unwrap();
    assert_eq!(guard.incomplete_since(), None);
}

proptest! {
    /// The result does not depend on how the bytes are divided among several reads.
    #[test]
    fn result_is_independent_of_read_boundaries(kinds in prop::collection::vec((0u8..12, any::<u8>(), 0usize..30), 0..40), read_lengths in prop::collection::vec(1usize..20, 1..6)) {
        let mut bytes = [&PREFACE[..], &frame(SETTINGS, NO_FLAGS, 6)].concat();
        for (kind, flags, length) in kinds { bytes.extend(frame(kind, flags, length)); }
        let in_one_read = FloodGuard::new(at(0), LIMITS).on_received(at(0), &bytes);
        let mut guard = FloodGuard::new(at(0), LIMITS);
        let mut rest = &bytes[..];
        let mut read_lengths = read_lengths.iter().cycle();
        let mut in_several_reads = Ok(());
        while !rest.is_empty() && in_several_reads.is_ok() {
            let n = (*read_lengths.next().unwrap()).min(rest.len());
            in_several_reads = guard.on_received(at(0), &rest[..n]);
            rest = &rest[n..];
        }
        prop_assert_eq!(in_one_read, in_several_reads);
    }

    #[test]
    fn arbitrary_bytes_cause_no_panic(bytes in prop::collection::vec(any::<u8>(), 0..200), preface in any::<bool>()) {
        let mut guard = FloodGuard::new(at(0), LIMITS);
        if preface { guard.on_received(at(0), PREFACE).unwrap(); }
        let _ = guard.on_received(at(0), &bytes);
    }
}
