//! Tests of each rule that the attempt log checks. They guard against a check that reports nothing
//! and so lets a faulty broker pass.

use super::{Attempt, AttemptLimits, AttemptLog, AttemptOutcome};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// An attempt at shard 0 of server `s0`, under the idempotency key `k` that all cases share. Times
/// are in milliseconds since a common start.
struct AttemptCase {
    part_id: &'static str,
    received_ms: u64,
    ended_ms: Option<u64>,
    drain_published_ms: Option<u64>,
}

/// Creates an attempt at a server that does not drain. `ended_ms` is `None` if it stays in flight.
fn attempt(part_id: &'static str, received_ms: u64, ended_ms: Option<u64>) -> AttemptCase {
    AttemptCase {
        part_id,
        received_ms,
        ended_ms,
        drain_published_ms: None,
    }
}

/// Returns the time `ms` milliseconds after the common start.
fn instant(ms: u64) -> Instant {
    static START: OnceLock<Instant> = OnceLock::new();
    *START.get_or_init(Instant::now) + Duration::from_millis(ms)
}

/// Returns the texts of the violations in a log of these attempts.
fn violations(cases: &[AttemptCase]) -> Vec<String> {
    violations_with_lag(cases, Duration::ZERO)
}

/// Returns the texts of the violations in a log of these attempts. `lag` is the longest time by which
/// a timer of the fleet's thread fired late; times in the log may be late by as much.
fn violations_with_lag(cases: &[AttemptCase], lag: Duration) -> Vec<String> {
    let mut log = AttemptLog::default();
    log.record_lag(lag);
    log.record_lag(lag / 2);
    for case in cases {
        let number = log.record_attempt(Attempt {
            server: "s0".into(),
            part_id: case.part_id.into(),
            shard: 0,
            idempotency_key: Some("k".into()),
            received_at: instant(case.received_ms),
            draining_since: case.drain_published_ms.map(instant),
            executed: true,
            end: None,
        });
        if let Some(ended_ms) = case.ended_ms {
            log.record_end(number, AttemptOutcome::Answered, instant(ended_ms));
        }
    }
    log.check_invariants(AttemptLimits::default())
        .iter()
        .map(ToString::to_string)
        .collect()
}

#[test]
fn each_broken_rule_is_reported() {
    assert_eq!(
        violations(&[
            attempt("a", 0, Some(10)),
            attempt("a", 20, Some(30)),
            attempt("b", 40, None)
        ]),
        [""; 0]
    );
    let concurrent =
        "had two attempts in flight at the same time, on s0 and s0; the maximum is one";
    assert_eq!(
        violations(&[attempt("a", 0, Some(500)), attempt("a", 20, None)])[0],
        format!("part a {concurrent}")
    );
    assert_eq!(
        violations(&[attempt("a", 0, Some(500)), attempt("b", 20, None)])[0],
        format!("shard 0 under key k {concurrent}")
    );
    let five_attempts: Vec<_> = (0..5)
        .map(|n| attempt("a", 100 * n, Some(100 * n)))
        .collect();
    assert_eq!(
        violations(&five_attempts)[0],
        "part a was attempted 5 times; the maximum is 4"
    );
    assert_eq!(
        violations(&[attempt("a", 0, Some(10)), attempt("b", 5100, None)])[0],
        "shard 0 under key k was sent again to s0 5100 ms after its first execution; \
         the maximum is 5050 ms"
    );
    let sent_to_draining_server = AttemptCase {
        drain_published_ms: Some(0),
        ..attempt("a", 400, None)
    };
    assert_eq!(
        violations(&[sent_to_draining_server])[0],
        "part a was sent to draining server s0 400 ms after the drain was published; \
         the maximum is 300 ms"
    );
}

#[test]
fn tolerance_is_the_configured_one_or_twice_the_lag_if_that_is_longer() {
    let concurrent = |ended_ms| [attempt("a", 0, Some(ended_ms)), attempt("a", 10, Some(20))];
    let sent_to_draining_server = |received_ms| AttemptCase {
        drain_published_ms: Some(0),
        ..attempt("b", received_ms, Some(received_ms + 1))
    };
    // The log tolerates overlaps and delays that are no longer than the tolerance, because its times
    // are inexact. By default the tolerance is 50 ms and the grace period of a drain 250 ms. The
    // tolerance in effect is twice the lag if that is longer.
    for (lag_ms, tolerance_ms) in [(0, 50), (6, 50), (25, 50), (26, 52), (100, 200)] {
        let lag = Duration::from_millis(lag_ms);
        let latest_end = 10 + tolerance_ms;
        assert_eq!(violations_with_lag(&concurrent(latest_end), lag), [""; 0]);
        assert!(
            !violations_with_lag(&concurrent(latest_end + 1), lag).is_empty(),
            "expected a violation: attempts overlap by {} ms, the tolerance is {tolerance_ms} ms",
            tolerance_ms + 1
        );
        let latest_arrival = 250 + tolerance_ms;
        assert_eq!(
            violations_with_lag(&[sent_to_draining_server(latest_arrival)], lag),
            [""; 0]
        );
        assert!(
            !violations_with_lag(&[sent_to_draining_server(latest_arrival + 1)], lag).is_empty(),
            "expected a violation: an attempt arrives {} ms after the drain, the maximum is \
             {latest_arrival} ms",
            latest_arrival + 1
        );
    }
}
