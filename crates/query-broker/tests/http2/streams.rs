//! Tests of several streams on a connection: flow control, resets, the stream limit and the quota of a
//! connection.

use crate::fixture::{Fixture, OPERATOR_CONFIG, WAIT_TIMEOUT, complete_answer, lookup, send_all};
use futures_lite::future::zip;
use futures_util::future::join_all;
use h2::client::Builder;
use load_generator::raw_http2::{
    DATA, END_STREAM, HEADERS, PREFACE, RST_STREAM, SETTINGS, WINDOW_UPDATE, encode_frame,
    query_frames, response_status,
};
use load_generator::{Http1Client, Http2Client, QueryOutcome};
use std::time::Duration;
use test_fleet::{Deployment, Fault, FleetPlan};

fn is_complete(outcome: &QueryOutcome) -> bool {
    matches!(outcome, QueryOutcome::Answered { complete: true, .. })
}

fn has_retry_after(outcome: &QueryOutcome) -> bool {
    matches!(outcome, QueryOutcome::Rejected(Some(seconds)) if *seconds > 0.0)
}

#[test]
fn hundreds_of_streams_share_a_connection() {
    // The objective and the timeouts are longer than a busy machine needs. Otherwise admission would
    // reject queries whose forecast misses their objective, which this test is not about.
    let deployment = Deployment {
        latency_objective_ms: 20_000.0,
        client_timeout_ms: 30_000.0,
        ..Deployment::default()
    };
    let plan = FleetPlan {
        part_duration: Duration::from_millis(20),
        ..FleetPlan::default()
    };
    let mut fixture = Fixture::start(plan, deployment, OPERATOR_CONFIG);
    let answers = fixture.run(async {
        let http2 = fixture.connect().await;
        // The queries exceed the stream limit. A client that has not received the limit yet would open
        // too many streams and have some refused.
        fixture.wait_for_settings(&http2).await;
        let queries: Vec<_> = (0..300)
            .map(|n| lookup(&format!("q{n}"), &[n % 8]).with_client_timeout(WAIT_TIMEOUT))
            .collect();
        send_all(&http2, &queries).await
    });
    let log = fixture.broker.log_lines();
    for (n, answer) in answers.iter().enumerate() {
        assert_eq!(*answer, complete_answer(&[n % 8]), "query {n}: {log:?}");
    }
    fixture.check_invariants();
}

/// A client grants a small window on one stream and never enlarges it. Guards against a response that
/// blocks the other streams of the connection, or that stays open for ever: its stream must be reset
/// at the deadline of its query.
#[test]
fn slow_reader_blocks_no_other_stream_and_is_reset_at_its_deadline() {
    let fixture = Fixture::with_part_duration(Duration::ZERO);
    let mut raw = fixture.connect_silent();
    // Windows of streams are 10 bytes: SETTINGS_INITIAL_WINDOW_SIZE is setting 4.
    raw.send(&[PREFACE, &encode_frame(SETTINGS, 0, 0, &[0, 4, 0, 0, 0, 10])].concat());
    raw.send(&query_frames(1, "slow"));
    let slow = raw.expect_frame(HEADERS);
    assert_eq!((slow.stream_id, response_status(&slow)), (1, 200));
    assert_eq!(raw.expect_frame(DATA).payload.len(), 10);
    raw.send(&query_frames(3, "usual"));
    raw.send(&encode_frame(WINDOW_UPDATE, 0, 3, &10_000u32.to_be_bytes()));
    let mut length = 0;
    loop {
        let next = raw.expect_frame(DATA);
        assert_eq!(
            next.stream_id, 3,
            "the slow stream was sent more than its window"
        );
        length += next.payload.len();
        if next.flags & END_STREAM != 0 {
            break;
        }
    }
    assert!(
        length > 10,
        "expected a response that exceeds the initial window of 10 bytes, found {length} bytes"
    );
    let reset = raw.expect_frame(RST_STREAM);
    assert_eq!(
        (reset.stream_id, reset.error_code()),
        (1, 8),
        "expected CANCEL on the slow stream at its deadline"
    );
    raw.send(&query_frames(5, "after"));
    assert_eq!(response_status(&raw.expect_frame(HEADERS)), 200);
}

/// When a client resets a stream, the broker must cancel the attempts of its query. Guards against
/// capacity that is not released: each round needs capacity that the round before has used.
#[test]
fn reset_cancels_attempts_and_frees_their_capacity() {
    let plan = FleetPlan {
        servers: 2,
        ..FleetPlan::default()
    };
    let deployment = Deployment {
        max_in_flight: 20,
        ..Deployment::default()
    };
    let fixture = Fixture::start(plan, deployment, OPERATOR_CONFIG);
    fixture.set_fault(Fault::Hang);
    fixture.run(async {
        let http2 = fixture.connect().await;
        for round in 0..20 {
            let before = fixture.attempt_count();
            let mut streams = Vec::new();
            for n in 0..4 {
                let query = lookup(&format!("r{round}q{n}"), &[0, 1]);
                streams.push(http2.open(&query.request()).await.unwrap());
            }
            // If earlier rounds had not released their capacity, these queries would be rejected and
            // their attempts never sent.
            fixture.wait_for_attempts(before + 8).await;
            streams
                .into_iter()
                .for_each(load_generator::Http2Stream::reset);
            fixture.wait_until_attempts_end().await;
        }
    });
    fixture.check_invariants();
}

/// Outcomes of the queries of all clients while one connection exceeds its quota of concurrent
/// queries.
struct QuotaRun {
    /// Outcomes of 100 queries on the connection that exceeds its quota.
    over_quota: Vec<QueryOutcome>,
    /// Outcomes on the other connections.
    others: OtherConnections,
}

/// Outcomes of the queries on the connections that keep to their quota.
struct OtherConnections {
    /// Outcomes of one query on each of five HTTP/2 connections, for shards 0 to 4.
    over_http2: Vec<QueryOutcome>,
    /// Outcome of a query on an HTTP/1.1 connection, for shard 6.
    over_http1: QueryOutcome,
}

impl QuotaRun {
    /// Starts a broker that may have 90 queries and parts in flight, counted together, and runs the
    /// clients.
    fn run() -> Self {
        let deployment = Deployment {
            max_in_flight: 90,
            ..Deployment::default()
        };
        let fixture = Fixture::start(FleetPlan::default(), deployment, OPERATOR_CONFIG);
        fixture.set_part_duration(Duration::from_millis(700));
        fixture.run(async {
            let over_quota = fixture.connect().await;
            let mut others = Vec::new();
            for _ in 0..5 {
                others.push(fixture.connect().await);
            }
            let http1 = fixture.connect_http1().await;
            let queries: Vec<_> = (0..100)
                .map(|n| lookup(&format!("g{n}"), &[n % 8]))
                .collect();
            let (over_quota, others) = zip(
                send_all(&over_quota, &queries),
                send_on_others(&fixture, &others, http1),
            )
            .await;
            QuotaRun { over_quota, others }
        })
    }
}

/// Sends a query on each of these connections once the data servers have received ten attempts, so that
/// the queries of the connection that exceeds its quota are in flight at that time.
async fn send_on_others(
    fixture: &Fixture,
    others: &[Http2Client],
    mut http1: Http1Client,
) -> OtherConnections {
    fixture.wait_for_attempts(10).await;
    let queries: Vec<_> = (0..5).map(|n| lookup(&format!("o{n}"), &[n])).collect();
    let over_http2 = join_all(
        others
            .iter()
            .zip(&queries)
            .map(|(client, query)| client.send_query(query)),
    );
    // The HTTP/1.1 query is sent together with the others, because the broker closes an unused
    // connection after 2 s.
    let request = lookup("http1", &[6]).request();
    let (over_http2, over_http1) = zip(over_http2, http1.send(&request)).await;
    OtherConnections {
        over_http2,
        over_http1: QueryOutcome::from_response(&over_http1.unwrap()),
    }
}

#[test]
fn queries_beyond_the_quota_of_a_connection_are_rejected_with_retry_after() {
    let outcomes = QuotaRun::run().over_quota;
    let answered = outcomes.iter().filter(|o| is_complete(o)).count();
    let rejected = outcomes.iter().filter(|o| has_retry_after(o)).count();
    assert_eq!(
        (answered, rejected),
        (30, 70),
        "(answered, rejected): the quota is two thirds of 90, and a query with its part takes two"
    );
}

#[test]
fn other_connections_are_served_while_one_is_over_its_quota() {
    let outcomes = QuotaRun::run().others;
    for (shard, answer) in outcomes.over_http2.iter().enumerate() {
        assert_eq!(
            *answer,
            complete_answer(&[shard]),
            "the query on another connection for shard {shard}"
        );
    }
    assert_eq!(outcomes.over_http2.len(), 5);
    assert_eq!(outcomes.over_http1, complete_answer(&[6]));
}

/// Streams beyond the limit must be refused with `REFUSED_STREAM`, which tells the client that it is
/// safe to repeat the request.
#[test]
fn streams_beyond_the_limit_are_refused() {
    let fixture = Fixture::start(
        FleetPlan::default(),
        Deployment::default(),
        "listen-http2 127.0.0.1:0\nhttp2-streams 2\n",
    );
    fixture.set_part_duration(Duration::from_millis(300));
    let mut raw = fixture.connect_raw();
    // The three queries are sent in one write, so that the third arrives while the first two are being
    // served.
    let queries: Vec<Vec<u8>> = (0..3)
        .map(|n| query_frames(1 + 2 * n, &format!("q{n}")))
        .collect();
    raw.send(&queries.concat());
    let reset = raw.expect_frame(RST_STREAM);
    assert_eq!(
        (reset.stream_id, reset.error_code()),
        (5, 7),
        "expected REFUSED_STREAM on the third stream"
    );
    assert_eq!(response_status(&raw.expect_frame(HEADERS)), 200);
    // No stream of a client that keeps to the limit is refused.
    fixture.run(async {
        let http2 = fixture.connect_with(&Builder::new()).await;
        fixture.wait_for_settings(&http2).await;
        assert_eq!(http2.peer_stream_limit(), 2);
        let queries: Vec<_> = (0..6).map(|n| lookup(&format!("k{n}"), &[n])).collect();
        let answers = send_all(&http2, &queries).await;
        assert!(
            answers.iter().all(is_complete),
            "expected only complete answers, found {answers:?}"
        );
    });
}
