//! Parts that may not be executed twice.

use crate::common::{
    Harness, attempt_ended, class, failed, final_responses, rejected, ring, ring_with_class,
    sent_attempts,
};
use fanout_policy::api::{Class, Ms, Outcome, RetrySafety, Settings};

#[test]
fn non_idempotent_part_is_not_retried_once_it_may_have_run() {
    let class = Class {
        retry_safety: RetrySafety::NotIdempotent,
        ..class()
    };
    let mut policy = Harness::new(ring_with_class(class), 1);
    policy.submit("q", &[0]);
    let retry = policy.end_attempt("q.0", 0, Outcome::Overloaded, 5.0);
    assert_eq!(sent_attempts(&retry).len(), 1, "a rejected part never ran");
    let mut after = policy.end_attempt("q.0", 1, Outcome::ConnectionLost, 5.0);
    for _ in 0..900 {
        after.extend(policy.advance(5.0, vec![]));
    }
    assert!(sent_attempts(&after).is_empty());
    assert_eq!(
        final_responses(&after),
        vec![failed("q")],
        "a failure, not a rejection"
    );
}

#[test]
fn part_with_idempotency_key_is_retried_only_within_its_window() {
    let class = Class {
        retry_safety: RetrySafety::IdempotencyKey { window: 300.0 },
        ..class()
    };
    for (wait, expected_retries) in [(100.0, 1), (400.0, 0)] {
        let settings = Settings {
            classes: vec![class.clone()],
            hedging: false,
            ..ring()
        };
        let mut policy = Harness::new(settings, 1);
        policy.submit("q", &[0]);
        let actions = policy.advance(wait, vec![attempt_ended("q.0", 0, Outcome::Error, wait)]);
        assert_eq!(sent_attempts(&actions).len(), expected_retries);
    }
}

/// Otherwise the client would wait until its deadline for a part that can no longer be served.
#[test]
fn query_fails_immediately_when_its_part_may_not_be_retried() {
    for retry_safety in [
        RetrySafety::NotIdempotent,
        RetrySafety::IdempotencyKey { window: 300.0 },
    ] {
        let class = Class {
            retry_safety,
            ..class()
        };
        let mut policy = Harness::new(
            Settings {
                classes: vec![class],
                hedging: false,
                ..ring()
            },
            1,
        );
        policy.submit("q", &[0]);
        let lost = policy.end_attempt("q.0", 0, Outcome::ConnectionLost, 400.0);
        assert_eq!(final_responses(&lost), vec![failed("q")]);
        assert!(sent_attempts(&lost).is_empty());
    }
}

#[test]
fn query_with_idempotency_key_is_rejected_only_within_its_window() {
    // All attempts may have run. The window either is long or has ended by the time of the client's retry.
    let response = |window: Ms| {
        let class = Class {
            retry_safety: RetrySafety::IdempotencyKey { window },
            ..class()
        };
        let mut policy = Harness::new(
            Settings {
                classes: vec![class],
                max_attempts: 1,
                ..ring()
            },
            1,
        );
        policy.submit("q", &[0]);
        final_responses(&policy.end_attempt("q.0", 0, Outcome::Error, 200.0))
    };
    assert_eq!(response(1000.0), vec![rejected("q")]);
    assert_eq!(
        response(250.0),
        vec![failed("q")],
        "a retry could take effect twice"
    );
}
