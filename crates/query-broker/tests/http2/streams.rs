//! Many streams on a connection: flow control, resets, fair use of the capacity.

use crate::fixture::{BOUND, Fixture, OPERATOR_CONFIG, complete_answer, lookup, send_all};
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
    // Objective and timeouts are beyond what a busy machine needs: this test is not about
    // admission, which rejects queries whose forecast misses their objective.
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
        // More than the limit of streams: a client that does not know it yet would be refused.
        fixture.wait_for_settings(&http2).await;
        let queries: Vec<_> = (0..300)
            .map(|n| lookup(&format!("q{n}"), &[n % 8]).with_client_timeout(BOUND))
            .collect();
        send_all(&http2, &queries).await
    });
    let log = fixture.broker.log_lines();
    for (n, answer) in answers.iter().enumerate() {
        assert_eq!(*answer, complete_answer(&[n % 8]), "query {n}: {log:?}");
    }
    fixture.check_invariants();
}

/// A stream whose client does not read holds up no other one, and is reset at its deadline.
#[test]
fn slow_reader_stalls_no_other_stream_and_is_reset_at_its_deadline() {
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
            "the slow one was sent more than its window"
        );
        length += next.payload.len();
        if next.flags & END_STREAM != 0 {
            break;
        }
    }
    assert!(length > 10);
    let reset = raw.expect_frame(RST_STREAM);
    assert_eq!(
        (reset.stream_id, reset.error_code()),
        (1, 8),
        "CANCEL at the deadline"
    );
    raw.send(&query_frames(5, "after"));
    assert_eq!(response_status(&raw.expect_frame(HEADERS)), 200);
}

/// The client's reset ends the query: its attempts are cancelled, and their capacity is free again.
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
            // Without the capacity of earlier rounds these would be rejected, and their attempts
            // never sent.
            fixture.wait_for_attempts(before + 8).await;
            streams
                .into_iter()
                .for_each(load_generator::Http2Stream::reset);
            fixture.wait_until_attempts_end().await;
        }
    });
    fixture.check_invariants();
}

/// What clients saw while one connection sent more queries at once than its quota.
struct OverQuota {
    /// Outcomes of 100 queries on the connection that is over its quota.
    over_quota: Vec<QueryOutcome>,
    others: OtherOutcomes,
}

/// What clients on other connections saw.
struct OtherOutcomes {
    /// Outcomes of one query on each of five connections, for shards 0 to 4.
    over_http2: Vec<QueryOutcome>,
    /// Outcome of a query over HTTP/1.1, for shard 6.
    over_http1: QueryOutcome,
}

impl OverQuota {
    /// Runs the clients against a broker with a capacity of 90 queries and parts.
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
            OverQuota { over_quota, others }
        })
    }
}

/// Once the data servers have seen ten attempts, sends a query on each of these connections.
async fn send_on_others(
    fixture: &Fixture,
    others: &[Http2Client],
    mut http1: Http1Client,
) -> OtherOutcomes {
    fixture.wait_for_attempts(10).await;
    let queries: Vec<_> = (0..5).map(|n| lookup(&format!("o{n}"), &[n])).collect();
    let over_http2 = join_all(
        others
            .iter()
            .zip(&queries)
            .map(|(client, query)| client.send_query(query)),
    );
    // Sent with the others: an unused connection is closed after 2 s.
    let request = lookup("http1", &[6]).request();
    let (over_http2, over_http1) = zip(over_http2, http1.send(&request)).await;
    OtherOutcomes {
        over_http2,
        over_http1: QueryOutcome::from_response(&over_http1.unwrap()),
    }
}

#[test]
fn connection_over_its_quota_is_rejected_with_retry_after() {
    let outcomes = OverQuota::run().over_quota;
    let answered = outcomes.iter().filter(|o| is_complete(o)).count();
    let rejected = outcomes.iter().filter(|o| has_retry_after(o)).count();
    assert_eq!(
        (answered, rejected),
        (30, 70),
        "two thirds of 90, two for each query"
    );
}

#[test]
fn other_connections_are_served_while_one_is_over_its_quota() {
    let outcomes = OverQuota::run().others;
    for (shard, answer) in outcomes.over_http2.iter().enumerate() {
        assert_eq!(
            *answer,
            complete_answer(&[shard]),
            "another connection was shut out"
        );
    }
    assert_eq!(outcomes.over_http2.len(), 5);
    assert_eq!(outcomes.over_http1, complete_answer(&[6]));
}

/// Streams beyond the limit are refused with `REFUSED_STREAM`, after which they are safe to repeat.
#[test]
fn streams_beyond_the_limit_are_refused() {
    let fixture = Fixture::start(
        FleetPlan::default(),
        Deployment::default(),
        "listen-http2 127.0.0.1:0\nhttp2-streams 2\n",
    );
    fixture.set_part_duration(Duration::from_millis(300));
    let mut raw = fixture.connect_raw();
    // In one write, so that all three arrive while the first two are being served.
    let queries: Vec<Vec<u8>> = (0..3)
        .map(|n| query_frames(1 + 2 * n, &format!("q{n}")))
        .collect();
    raw.send(&queries.concat());
    let reset = raw.expect_frame(RST_STREAM);
    assert_eq!(
        (reset.stream_id, reset.error_code()),
        (5, 7),
        "REFUSED_STREAM"
    );
    assert_eq!(response_status(&raw.expect_frame(HEADERS)), 200);
    // A client that keeps to the limit is never refused.
    fixture.run(async {
        let http2 = fixture.connect_with(&Builder::new()).await;
        fixture.wait_for_settings(&http2).await;
        assert_eq!(http2.peer_stream_limit(), 2);
        let queries: Vec<_> = (0..6).map(|n| lookup(&format!("k{n}"), &[n])).collect();
        let answers = send_all(&http2, &queries).await;
        assert!(answers.iter().all(is_complete), "{answers:?}");
    });
}
