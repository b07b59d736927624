//! Parts that may not be executed twice.

use crate::common::{
    Harness, class, failed, final_responses, rejected, ring_with_class, ring_without_retries,
    sent_attempts,
};
use fanout_policy::api::{Class, Ms, Outcome, RetrySafety, Settings};

/// A class whose parts may be retried within this time of the first attempt.
fn class_with_idempotency_key(window: Ms) -> Class {
    Class {
        retry_safety: RetrySafety::IdempotencyKey { window },
        ..class()
    }
}

/// A class whose parts must not be executed twice.
fn non_idempotent_class() -> Class {
    Class {
        retry_safety: RetrySafety::NotIdempotent,
        ..class()
    }
}

/// The ring with this class alone and without hedging.
fn ring_with_class_without_hedging(class: Class) -> Settings {
    Settings {
        hedging: false,
        ..ring_with_class(class)
    }
}

#[test]
fn non_idempotent_part_is_not_retried_once_it_may_have_run() {
    let mut policy = Harness::new(ring_with_class(non_idempotent_class()), 1);
    policy.submit("q", &[0]);
    let retry = policy.end_attempt("q.0", 0, Outcome::Overloaded, 5.0);
    assert_eq!(sent_attempts(&retry).len(), 1, "a rejected part never ran");
    let mut after = policy.end_attempt("q.0", 1, Outcome::ConnectionLost, 5.0);
    after.extend(policy.run_ticks(900));
    assert!(sent_attempts(&after).is_empty());
    assert_eq!(
        final_responses(&after),
        vec![failed("q")],
        "a failure, not a rejection"
    );
}

#[test]
fn part_with_idempotency_key_is_retried_only_within_its_window() {
    let settings = ring_with_class_without_hedging(class_with_idempotency_key(300.0));
    for (wait, expected_retries) in [(100.0, 1), (400.0, 0)] {
        let mut policy = Harness::new(settings.clone(), 1);
        policy.submit("q", &[0]);
        let actions = policy.end_attempt("q.0", 0, Outcome::Error, wait);
        assert_eq!(sent_attempts(&actions).len(), expected_retries, "{wait} ms");
    }
}

/// Otherwise the client would wait until its deadline for a part that can no longer be served.
#[test]
fn query_fails_immediately_when_its_part_may_not_be_retried() {
    for class in [non_idempotent_class(), class_with_idempotency_key(300.0)] {
        let mut policy = Harness::new(ring_with_class_without_hedging(class), 1);
        policy.submit("q", &[0]);
        let lost = policy.end_attempt("q.0", 0, Outcome::ConnectionLost, 400.0);
        assert_eq!(final_responses(&lost), vec![failed("q")]);
        assert!(sent_attempts(&lost).is_empty());
    }
}

#[test]
fn query_with_idempotency_key_is_rejected_only_within_its_window() {
    // The only attempt may have run. The window either is long or has ended by the time of the
    // client's retry.
    let response = |window: Ms| {
        let class = class_with_idempotency_key(window);
        let mut policy = Harness::new(ring_without_retries(class), 1);
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
