//! Many streams on a connection: flow control, resets, fairness.

use crate::rig::{OPERATOR, lookup, rig, rig_with, whole};
use futures_util::future::join_all;
use h2::client::Builder;
use load_generator::QueryOutcome;
use load_generator::raw_http2::{
    DATA, END_STREAM, HEADERS, RST_STREAM, RawHttp2Client, SETTINGS, WINDOW_UPDATE, encode_frame,
    query_frames, response_status,
};
use std::time::Duration;
use test_fleet::{Deployment, Fault, FleetPlan};

#[test]
fn a_few_hundred_streams_share_a_connection() {
    let rig = rig(Duration::from_millis(20));
    rig.run(async {
        let http2 = rig.connect().await;
        // More than the limit of streams: a client that does not know it yet would be refused.
        rig.settle(&http2).await;
        let asks: Vec<_> = (0..300)
            .map(|n| lookup(&format!("q{n}"), &[n % 8]))
            .collect();
        let answers = join_all(asks.iter().map(|ask| http2.send_query(ask))).await;
        for (n, answer) in answers.iter().enumerate() {
            assert_eq!(*answer, whole(&[n % 8]), "query {n}");
        }
    });
    rig.check_books();
}

/// A stream whose reader takes nothing waits for itself alone, and is given up at its deadline.
#[test]
fn a_slow_reader_stalls_no_other_stream_and_is_given_up() {
    let rig = rig(Duration::ZERO);
    let mut raw = RawHttp2Client::connect(rig.program.http2.unwrap());
    // Windows of streams are 10 bytes: SETTINGS_INITIAL_WINDOW_SIZE is setting 4.
    raw.send(
        &[
            load_generator::raw_http2::PREFACE,
            &encode_frame(SETTINGS, 0, 0, &[0, 4, 0, 0, 0, 10]),
        ]
        .concat(),
    );
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

/// The client's reset ends the query: attempts out are given up, and the room comes back.
#[test]
fn a_reset_gives_up_what_is_out_and_gives_its_room_back() {
    let plan = FleetPlan {
        servers: 2,
        ..FleetPlan::default()
    };
    let deployment = Deployment {
        max_in_flight: 20,
        ..Deployment::default()
    };
    let rig = rig_with(plan, deployment, OPERATOR);
    rig.fleet
        .servers()
        .iter()
        .for_each(|s| s.set_fault(Fault::Hang));
    rig.run(async {
        let http2 = rig.connect().await;
        for round in 0..20 {
            let before = rig.fleet.attempt_log(|log| log.attempts().len());
            let mut streams = Vec::new();
            for n in 0..4 {
                let ask = lookup(&format!("r{round}q{n}"), &[0, 1]);
                streams.push(http2.open(&ask.request()).await.unwrap());
            }
            // Were the room of earlier rounds not back, these would be refused and never come.
            rig.attempts(before + 8).await;
            streams
                .into_iter()
                .for_each(load_generator::Http2Stream::reset);
            while rig
                .fleet
                .attempt_log(|log| log.attempts().iter().any(|a| a.end.is_none()))
            {
                async_io::Timer::after(Duration::from_millis(1)).await;
            }
        }
    });
    rig.check_books();
}

/// One connection with hundreds of streams leaves room for the others, and is told when to come back.
#[test]
fn one_connection_does_not_take_all_the_room() {
    let deployment = Deployment {
        max_in_flight: 90,
        ..Deployment::default()
    };
    let rig = rig_with(FleetPlan::default(), deployment, OPERATOR);
    rig.fleet
        .servers()
        .iter()
        .for_each(|s| s.set_part_duration(Duration::from_millis(700)));
    rig.run(async {
        let greedy = rig.connect().await;
        let mut others = Vec::new();
        for _ in 0..5 {
            others.push(rig.connect().await);
        }
        let mut old = rig.connect_http1().await;
        let asks: Vec<_> = (0..100)
            .map(|n| lookup(&format!("g{n}"), &[n % 8]))
            .collect();
        let taken = join_all(asks.iter().map(|ask| greedy.send_query(ask)));
        let rest = async {
            rig.attempts(10).await;
            let asks: Vec<_> = (0..5).map(|n| lookup(&format!("o{n}"), &[n])).collect();
            let over_http2 = join_all(others.iter().zip(&asks).map(|(c, ask)| c.send_query(ask)));
            // Sent with the others: an unused connection is closed after 2 s.
            let request = lookup("old", &[6]).request();
            let (over_http2, over_http1) =
                futures_lite::future::zip(over_http2, old.send(&request)).await;
            (
                over_http2,
                QueryOutcome::from_response(&over_http1.unwrap()),
            )
        };
        let (taken, (over_http2, over_http1)) = futures_lite::future::zip(taken, rest).await;
        for (n, answer) in over_http2.iter().enumerate() {
            assert_eq!(*answer, whole(&[n]), "another connection was shut out");
        }
        assert_eq!(over_http1, whole(&[6]));
        let served = taken
            .iter()
            .filter(|a| matches!(a, QueryOutcome::Answered { complete: true, .. }))
            .count();
        let told = taken
            .iter()
            .filter(|a| matches!(a, QueryOutcome::Rejected(Some(after)) if *after > 0.0))
            .count();
        assert_eq!(
            (served, told),
            (30, 70),
            "two thirds of 90, two for each query"
        );
    });
}

/// Streams beyond the limit are refused, which is harmless to repeat.
#[test]
fn streams_beyond_the_limit_are_refused() {
    let rig = rig_with(
        FleetPlan::default(),
        Deployment::default(),
        "listen-http2 127.0.0.1:0\nhttp2-streams 2\n",
    );
    rig.fleet
        .servers()
        .iter()
        .for_each(|s| s.set_part_duration(Duration::from_millis(300)));
    let mut raw = RawHttp2Client::connect_with_preface(rig.program.http2.unwrap());
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
    rig.run(async {
        let http2 = rig.connect_with(&Builder::new()).await;
        rig.settle(&http2).await;
        assert_eq!(http2.peer_stream_limit(), 2);
        let asks: Vec<_> = (0..6).map(|n| lookup(&format!("k{n}"), &[n])).collect();
        let answers = join_all(asks.iter().map(|ask| http2.send_query(ask))).await;
        assert!(
            answers
                .iter()
                .all(|a| matches!(a, QueryOutcome::Answered { complete: true, .. })),
            "{answers:?}"
        );
    });
}
