//! Retries of parts whose repeated execution has an effect, with and without an idempotency key.

use crate::common::{
    Harness, class, failed, final_responses, rejected, ring_with_class, ring_without_retries,
    sent_attempts,
};
use fanout_policy::api::{Class, Ms, Outcome, RetrySafety, Settings};

/// Creates a class whose parts have an idempotency key: servers deduplicate repeats until `window`
/// after the first attempt that may have run.
fn class_with_idempotency_key(window: Ms) -> Class {
    Class {
        retry_safety: RetrySafety::IdempotencyKey { window },
        ..class()
    }
}

/// Creates a class whose parts take effect each time that they are executed.
fn non_idempotent_class() -> Class {
    Class {
        retry_safety: RetrySafety::NotIdempotent,
        ..class()
    }
}

/// Creates the settings of [`ring`] without hedging and with `class` as the only class.
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
    assert_eq!(
        sent_attempts(&retry).len(),
        1,
        "a part that the server rejected never ran and must be retried"
    );
    let mut after = policy.end_attempt("q.0", 1, Outcome::ConnectionLost, 5.0);
    after.extend(policy.run_ticks(900));
    assert!(sent_attempts(&after).is_empty());
    assert_eq!(
        final_responses(&after),
        vec![failed("q")],
        "a rejection would tell the client that a retry is safe"
    );
}

#[test]
fn part_with_idempotency_key_is_retried_only_within_its_window() {
    let settings = ring_with_class_without_hedging(class_with_idempotency_key(300.0));
    for (wait, expected_retries) in [(100.0, 1), (400.0, 0)] {
        let mut policy = Harness::new(settings.clone(), 1);
        policy.submit("q", &[0]);
        let actions = policy.end_attempt("q.0", 0, Outcome::Error, wait);
        assert_eq!(
            sent_attempts(&actions).len(),
            expected_retries,
            "retries {wait} ms after the first attempt"
        );
    }
}

/// Guards against a client that waits until its deadline for a part that can no longer be served.
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
fn query_with_idempotency_key_is_rejected_only_if_the_client_retry_is_within_its_window() {
    // The only attempt ends in an error after 200 ms and may have run. The client is assumed to
    // retry within twice the retry-after value of 50 ms, so at most 300 ms after that attempt was
    // sent. A window of 1000 ms covers such a retry, a window of 250 ms does not.
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
        "a retry by the client would execute the part a second time"
    );
}
