//! Tests of single cases of retries under idempotency keys.

use broker_types::time::Timestamp;
use idempotency::{ExecutionEvidence, IdempotencyRegister, KeyAdmission, QueryEnd, RegisterLimits};
use std::rc::Rc;
use std::time::Duration;

/// Length of the replay window.
const WINDOW: Duration = Duration::from_secs(5);
/// Time after the replay window during which clients may still retry. Until its end the register
/// keeps a key under which a part may have been executed, unless its query was answered.
const RETENTION: Duration = Duration::from_secs(5);

/// Returns the time `micros` microseconds after the origin of the clock.
const fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

/// Returns the time `seconds` seconds after the origin of the clock.
const fn seconds(seconds: u64) -> Timestamp {
    Timestamp::from_micros(seconds * 1_000_000)
}

/// Returns the end of the replay window of a part that was first sent at the origin of the clock.
fn window_end() -> Timestamp {
    Timestamp::ORIGIN + WINDOW
}

fn register(max_keys: usize) -> IdempotencyRegister {
    IdempotencyRegister::new(RegisterLimits {
        window: WINDOW,
        retention: RETENTION,
        max_keys,
    })
}

fn key(number: usize) -> Rc<str> {
    format!("k{number}").into()
}

/// Requests admission for a query with parts for shards 0 and 1, whose client waits for 4 seconds.
fn admit(register: &mut IdempotencyRegister, now: Timestamp, number: usize) -> KeyAdmission {
    register.admit(
        now,
        &key(number),
        [0, 1].into_iter(),
        now + Duration::from_secs(4),
    )
}

fn must_admit(register: &mut IdempotencyRegister, now: Timestamp, number: usize) {
    assert_eq!(admit(register, now, number), KeyAdmission::Admitted);
}

#[test]
fn key_with_a_query_in_flight_is_rejected() {
    let mut register = register(100);
    must_admit(&mut register, at(0), 1);
    let retry = admit(&mut register, seconds(1), 1);
    assert_eq!(retry, KeyAdmission::RetryAt(seconds(4)));
    must_admit(&mut register, seconds(1), 2);
}

/// The client disconnects while an attempt is in flight. The attempt is cancelled, but the server
/// may still execute it until its deadline.
#[test]
fn retry_is_rejected_while_a_cancelled_attempt_may_be_executed() {
    let mut register = register(100);
    must_admit(&mut register, at(0), 1);
    register.on_attempt_sent(at(0), "k1", 0, seconds(2));
    register.on_query_ended(seconds(1), &key(1), QueryEnd::Unanswered);
    let retry_at_deadline = KeyAdmission::RetryAt(seconds(2));
    assert_eq!(admit(&mut register, seconds(1), 1), retry_at_deadline);
    register.on_attempt_ended(seconds(1), "k1", 0, ExecutionEvidence::PossiblyExecuted);
    assert_eq!(admit(&mut register, seconds(1), 1), retry_at_deadline);
    must_admit(&mut register, seconds(2), 1);
    assert!(register.may_send(window_end() - Duration::from_micros(1), "k1", 0));
    assert!(!register.may_send(window_end(), "k1", 0));
    assert!(
        register.may_send(window_end(), "k1", 1),
        "a part that was never sent must be allowed after the window of another part"
    );
}

/// Sends an attempt at shard 0 and ends it with `evidence`, then ends the query without an answer.
/// Returns the decision on a retry at `retry_at`.
fn retry_after_attempt(evidence: ExecutionEvidence, retry_at: Timestamp) -> KeyAdmission {
    let mut register = register(100);
    must_admit(&mut register, at(0), 1);
    register.on_attempt_sent(at(0), "k1", 0, seconds(2));
    register.on_attempt_ended(at(10), "k1", 0, evidence);
    register.on_query_ended(at(10), &key(1), QueryEnd::Unanswered);
    admit(&mut register, retry_at, 1)
}

#[test]
fn retry_within_the_window_is_admitted_after_execution_finished_or_was_ruled_out() {
    for evidence in [ExecutionEvidence::Executed, ExecutionEvidence::NotExecuted] {
        let retry = retry_after_attempt(evidence, at(20));
        assert_eq!(retry, KeyAdmission::Admitted, "{evidence:?}");
    }
}

#[test]
fn retry_after_the_window_is_admitted_only_if_nothing_was_executed() {
    for (evidence, expected) in [
        (ExecutionEvidence::Executed, KeyAdmission::WindowExpired),
        (
            ExecutionEvidence::PossiblyExecuted,
            KeyAdmission::WindowExpired,
        ),
        (ExecutionEvidence::NotExecuted, KeyAdmission::Admitted),
    ] {
        let retry = retry_after_attempt(evidence, window_end());
        assert_eq!(retry, expected, "{evidence:?}");
    }
}

/// If a full register removed a key whose client may still retry, the retry would count as a new
/// query and be served, although its parts may have been executed.
#[test]
fn full_register_removes_an_answered_key_or_else_rejects_the_new_key() {
    let mut register = register(2);
    for number in 0..2 {
        must_admit(&mut register, at(0), number);
        register.on_attempt_sent(at(0), &key(number), 0, seconds(1));
        register.on_attempt_ended(at(10), &key(number), 0, ExecutionEvidence::Executed);
        let end = if number == 1 {
            QueryEnd::Answered
        } else {
            QueryEnd::Unanswered
        };
        register.on_query_ended(at(10), &key(number), end);
    }
    must_admit(&mut register, at(20), 2);
    assert_eq!(
        admit(&mut register, at(20), 3),
        KeyAdmission::RetryAt(at(10) + WINDOW + RETENTION)
    );
    assert_eq!(
        admit(&mut register, window_end(), 0),
        KeyAdmission::WindowExpired
    );
    assert_eq!(register.key_count(), 2);
    must_admit(&mut register, at(20) + WINDOW + RETENTION, 3);
}
