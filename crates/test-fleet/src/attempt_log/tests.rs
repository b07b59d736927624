//! Each rule of the log by itself, so that a fault in a check cannot hide a fault of a broker.

use super::{Attempt, AttemptLimits, AttemptLog, AttemptOutcome};
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// An attempt at shard 0 under one common key; times are in milliseconds.
struct AttemptCase {
    part_id: &'static str,
    received_ms: u64,
    ended_ms: Option<u64>,
    drain_published_ms: Option<u64>,
}

fn attempt(part_id: &'static str, received_ms: u64, ended_ms: Option<u64>) -> AttemptCase {
    AttemptCase {
        part_id,
        received_ms,
        ended_ms,
        drain_published_ms: None,
    }
}

fn instant(ms: u64) -> Instant {
    static START: OnceLock<Instant> = OnceLock::new();
    *START.get_or_init(Instant::now) + Duration::from_millis(ms)
}

fn violations(cases: &[AttemptCase]) -> Vec<String> {
    violations_with_lag(cases, Duration::ZERO)
}

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
    assert!(
        violations(&[attempt("a", 0, Some(500)), attempt("a", 20, None)])[0]
            .contains("a had two attempts in flight")
    );
    assert!(
        violations(&[attempt("a", 0, Some(500)), attempt("b", 20, None)])[0]
            .contains("key k had two attempts in flight")
    );
    let five_attempts: Vec<_> = (0..5)
        .map(|n| attempt("a", 100 * n, Some(100 * n)))
        .collect();
    assert!(violations(&five_attempts)[0].contains("5 times"));
    assert!(
        violations(&[attempt("a", 0, Some(10)), attempt("b", 5100, None)])[0]
            .contains("sent again after 5100 ms")
    );
    let sent_to_draining_server = AttemptCase {
        drain_published_ms: Some(0),
        ..attempt("a", 400, None)
    };
    assert!(violations(&[sent_to_draining_server])[0].contains("400 ms after its drain"));
}

#[test]
fn tolerance_grows_only_with_a_lag_that_exceeds_it() {
    let concurrent = |ended_ms| [attempt("a", 0, Some(ended_ms)), attempt("a", 10, Some(20))];
    let drained = |received_ms| AttemptCase {
        drain_published_ms: Some(0),
        ..attempt("b", received_ms, Some(received_ms + 1))
    };
    // The limits' tolerance is 50 ms, and the grace of a drain 250 ms.
    for (lag_ms, tolerance_ms) in [(0, 50), (6, 50), (25, 50), (26, 52), (100, 200)] {
        let lag = Duration::from_millis(lag_ms);
        let latest_end = 10 + tolerance_ms;
        assert_eq!(violations_with_lag(&concurrent(latest_end), lag), [""; 0]);
        assert!(!violations_with_lag(&concurrent(latest_end + 1), lag).is_empty());
        let latest_part = 250 + tolerance_ms;
        assert_eq!(violations_with_lag(&[drained(latest_part)], lag), [""; 0]);
        assert!(!violations_with_lag(&[drained(latest_part + 1)], lag).is_empty());
    }
}
