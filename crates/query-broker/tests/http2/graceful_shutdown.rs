//! Tests of the graceful shutdown on SIGTERM (RFC 9113, section 6.8). The broker sends GOAWAY with the
//! highest stream id, and a PING. It still serves streams that the client opens before it acknowledges
//! the PING, because the client may not have received the GOAWAY yet. After the acknowledgement the
//! broker sends a second GOAWAY with the id of the last stream that it serves. It answers the queries
//! that it has accepted, and exits.

use crate::fixture::{Fixture, WAIT_TIMEOUT, complete_answer, lookup, send_all};
use load_generator::raw_http2::{
    DATA, END_STREAM, GOAWAY, HEADERS, PING, RST_STREAM, RawHttp2Client, encode_frame,
    query_frames, response_status,
};
use std::time::Duration;

/// The flag ACK of a PING frame.
const ACK: u8 = 1;

/// The highest stream id (RFC 9113, section 5.1.1).
const HIGHEST_STREAM_ID: u32 = 0x7fff_ffff;

/// Time limit within which the broker has to close a connection.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(20);

/// A broker that has been sent SIGTERM while it serves a query on stream 1, and the client of that
/// query.
struct BrokerInShutdown {
    fixture: Fixture,
    raw: RawHttp2Client,
}

impl BrokerInShutdown {
    /// Starts a broker, sends a query, and sends SIGTERM once a data server has received the query's
    /// attempt. The data server takes `part_duration` for it.
    fn with_part_duration(part_duration: Duration) -> Self {
        let fixture = Fixture::with_part_duration(part_duration);
        let mut raw = fixture.connect_raw();
        raw.send(&query_frames(1, "a"));
        fixture.run(fixture.wait_for_attempts(1));
        fixture.broker.signal("TERM").unwrap();
        BrokerInShutdown { fixture, raw }
    }
}

#[test]
fn goaway_is_sent_and_accepted_queries_are_answered_on_shutdown() {
    let BrokerInShutdown {
        mut fixture,
        mut raw,
    } = BrokerInShutdown::with_part_duration(Duration::from_millis(300));
    let first = raw.expect_frame(GOAWAY);
    assert_eq!(
        (first.last_stream_id(), first.error_code()),
        (HIGHEST_STREAM_ID, 0)
    );
    let ping = raw.expect_frame(PING);
    // A query that the client sends before it acknowledges the PING counts as accepted: the client may
    // not have received the GOAWAY yet.
    raw.send(&query_frames(3, "b"));
    raw.send(&encode_frame(PING, ACK, 0, &ping.payload));
    let mut answered = Vec::new();
    let mut last = None;
    while let Some(next) = raw.next_frame(WAIT_TIMEOUT) {
        match next.frame_type {
            HEADERS => assert_eq!(response_status(&next), 200),
            DATA if next.flags & END_STREAM != 0 => answered.push(next.stream_id),
            GOAWAY => last = Some(next.last_stream_id()),
            _ => {}
        }
    }
    answered.sort_unstable();
    assert_eq!((answered, last), (vec![1, 3], Some(3)));
    assert!(fixture.broker.wait_for_exit().unwrap().success());
    fixture.check_invariants();
}

/// A client never acknowledges the PING that follows the first GOAWAY. Guards against a shutdown that
/// waits for the acknowledgement: later streams of this client must be refused, and the process must
/// exit.
#[test]
fn late_streams_are_refused_and_the_process_ends_without_ping_ack() {
    // The part takes so long that the first query is still being served when the second arrives.
    let BrokerInShutdown {
        mut fixture,
        mut raw,
    } = BrokerInShutdown::with_part_duration(Duration::from_millis(1500));
    assert_eq!(raw.expect_frame(GOAWAY).last_stream_id(), HIGHEST_STREAM_ID);
    // The broker accepts new connections for 600 ms after SIGTERM. When it no longer does, it also
    // refuses new streams on open connections.
    fixture.wait_until_not_listening();
    raw.send(&query_frames(3, "b"));
    let reset = raw.expect_frame(RST_STREAM);
    assert_eq!(
        (reset.stream_id, reset.error_code()),
        (3, 7),
        "expected REFUSED_STREAM on the stream of the late query"
    );
    assert_eq!(response_status(&raw.expect_frame(HEADERS)), 200);
    raw.frames_until_close(CLOSE_TIMEOUT);
    assert!(fixture.broker.wait_for_exit().unwrap().success());
    fixture.fleet.attempt_log(|log| {
        let attempts = log.attempts();
        assert!(
            attempts.iter().all(|a| a.part_id.starts_with("a.")),
            "expected attempts at parts of query a only, found {attempts:?}"
        );
    });
}

/// Guards against an exit that waits for clients without queries: one that has sent only its preface,
/// one that has sent nothing, and one whose queries have all been answered.
#[test]
fn idle_clients_do_not_delay_the_exit() {
    let mut fixture = Fixture::with_part_duration(Duration::ZERO);
    let mut idle = fixture.connect_raw();
    let mut silent = fixture.connect_silent();
    let served = fixture.run(async {
        let http2 = fixture.connect().await;
        let queries: Vec<_> = (0..4).map(|n| lookup(&format!("q{n}"), &[n])).collect();
        let answers = send_all(&http2, &queries).await;
        assert_eq!(answers[3], complete_answer(&[3]));
        http2
    });
    fixture.broker.signal("TERM").unwrap();
    idle.frames_until_close(CLOSE_TIMEOUT);
    silent.frames_until_close(CLOSE_TIMEOUT);
    assert!(fixture.broker.wait_for_exit().unwrap().success());
    drop(served);
}
