//! Final responses of queries: complete answers, partial answers, and the answers to both steps of
//! a query with a second step.

use crate::common::{
    Harness, attempt_ended, cancels_an_attempt, class, class_without_late_weight, complete_answer,
    final_responses, part_id, partial_answer, query_id, rejected, ring, ring_with_class,
    ring_without_retries, sent_attempts, served,
};
use fanout_policy::api::{Class, Event, Outcome, Part, Settings};

#[test]
fn query_gets_one_final_response_before_the_client_deadline() {
    let mut policy = Harness::new(ring(), 1);
    let mut responses = Vec::new();
    let events = policy.query_events("q", 0, &[0, 1], 1500.0);
    responses.extend(policy.responses_after(5.0, events));
    let client_deadline = policy.now + 1500.0;
    while policy.now + 5.0 < client_deadline {
        responses.extend(policy.responses_after(5.0, vec![]));
    }
    // No part has been served. The class is idempotent, so the client may retry: the query is
    // rejected and does not fail.
    assert_eq!(responses, vec![rejected("q")]);
    let late_events = vec![
        attempt_ended("q.0", 0, Outcome::Served, 1500.0),
        Event::ClientDisconnected(query_id("q")),
    ];
    let late = policy.advance(20.0, late_events);
    assert!(final_responses(&late).is_empty() && sent_attempts(&late).is_empty());
}

/// Creates the settings of [`ring`] with one class, where half of the parts suffice for a partial
/// answer and each part gets one attempt.
fn half_answer_without_retries() -> Settings {
    ring_without_retries(Class {
        minimum_share: 0.5,
        ..class_without_late_weight()
    })
}

#[test]
fn partial_answer_is_marked_incomplete_and_counts_each_part_once() {
    let mut policy = Harness::new(half_answer_without_retries(), 1);
    policy.submit("q", &[0, 1, 2, 3]);
    let first = policy.end_attempt("q.0", 0, Outcome::Served, 10.0);
    assert!(final_responses(&first).is_empty());
    let repeated = policy.end_attempt("q.0", 0, Outcome::Served, 10.0);
    assert!(
        final_responses(&repeated).is_empty(),
        "q.0 counts once, although its end was reported twice"
    );
    policy.end_attempt("q.1", 0, Outcome::Served, 10.0);
    let last_actions = policy.run_ticks(250);
    assert_eq!(final_responses(&last_actions), vec![partial_answer("q")]);
}

#[test]
fn parts_beyond_the_required_share_are_sent_only_after_an_error() {
    let class = Class {
        required_share: 0.67,
        minimum_share: 0.67,
        ..class()
    };
    let mut policy = Harness::new(ring_with_class(class), 1);
    let sent = policy.attempts_for("q", &[0, 1, 2, 3, 4, 5]);
    // Four of six parts have a weight of 0.667, which is less than the required share; five have
    // 0.833.
    assert_eq!(sent.len(), 5);
    let error = attempt_ended(&sent[0].part, 0, Outcome::Error, 10.0);
    let more = policy.attempts_after(10.0, vec![error]);
    assert_eq!(
        more.len(),
        2,
        "expected the part that was deferred and a retry of the failed one: {more:?}"
    );
    // The deferred part, which is the first of the two, is served with the four others. Five parts
    // make the answer complete, so the retry, which is still in flight, is no longer needed.
    let mut events = served(&sent[1..], 0, 20.0);
    events.push(attempt_ended(&more[0].part, 0, Outcome::Served, 5.0));
    let last_actions = policy.advance(10.0, events);
    assert_eq!(final_responses(&last_actions), vec![complete_answer("q")]);
    assert!(
        cancels_an_attempt(&last_actions),
        "the retry that is still in flight must be cancelled: {last_actions:?}"
    );
}

#[test]
fn partial_answer_waits_for_parts_that_may_still_be_served() {
    // One of four parts fails on its only attempt. Two are served, which is enough for a partial
    // answer, and the last one is still in flight.
    let mut policy = Harness::new(half_answer_without_retries(), 1);
    policy.submit("q", &[0, 1, 2, 3]);
    let served = |part: &str| attempt_ended(part, 0, Outcome::Served, 20.0);
    let early = vec![
        attempt_ended("q.0", 0, Outcome::Error, 20.0),
        served("q.1"),
        served("q.2"),
    ];
    assert!(
        policy.responses_after(20.0, early).is_empty(),
        "the partial answer must wait for the last part, which adds a quarter of the weight"
    );
    let last_actions = policy.advance(100.0, vec![served("q.3")]);
    assert_eq!(final_responses(&last_actions), vec![partial_answer("q")]);
}

#[test]
fn second_step_is_answered_once_all_its_parts_are_served() {
    let class = Class {
        has_second_step: true,
        ..class()
    };
    let mut policy = Harness::new(ring_with_class(class), 1);
    policy.submit("q", &[0]);
    let first_step = policy.end_attempt("q.0", 0, Outcome::Served, 20.0);
    assert_eq!(final_responses(&first_step), vec![complete_answer("q")]);
    let parts = vec![second_step_part("x", 1, 0.5), second_step_part("y", 1, 0.5)];
    assert_eq!(policy.attempts_after(5.0, parts).len(), 2);
    let one_served = policy.end_attempt("x", 0, Outcome::Served, 20.0);
    assert!(final_responses(&one_served).is_empty());
    let both_served = policy.advance(5.0, vec![attempt_ended("y", 0, Outcome::Served, 25.0)]);
    assert_eq!(final_responses(&both_served), vec![complete_answer("q")]);
}

/// Creates the settings of [`ring`] without hedging and with one class, which has a second step and
/// may be answered from half of its parts.
fn second_step_settings() -> Settings {
    let class = Class {
        has_second_step: true,
        minimum_share: 0.5,
        ..class()
    };
    Settings {
        hedging: false,
        ..ring_with_class(class)
    }
}

/// Creates the event that a part of the second step of a query has arrived. `group` is the number
/// of the query; [`Harness`] numbers queries from 1.
fn second_step_part(name: &str, group: u64, weight: f64) -> Event {
    Event::Part(Part {
        id: part_id(name),
        group,
        shard: 0,
        weight,
        cost_hint: None,
    })
}

/// Guards against a query that is ended too early. Between the answer to the first step and the
/// arrival of the second step's parts, the query has no attempt in flight. A batch in that time
/// must not take the second step for one that cannot be answered.
#[test]
fn second_step_is_not_ended_before_its_parts_arrive() {
    let mut policy = Harness::new(second_step_settings(), 1);
    policy.submit("q", &[0]);
    let first_step = policy.end_attempt("q.0", 0, Outcome::Served, 20.0);
    assert_eq!(final_responses(&first_step), vec![complete_answer("q")]);
    let empty_batch = policy.advance(5.0, vec![]);
    assert!(
        final_responses(&empty_batch).is_empty(),
        "the parts of the second step have not arrived yet"
    );
    let parts = vec![second_step_part("x", 1, 1.0)];
    assert_eq!(policy.attempts_after(5.0, parts).len(), 1);
}

/// Guards against a partial first answer that is given so late that the second step misses the
/// latency objective.
#[test]
fn partial_first_answer_leaves_time_for_the_second_step() {
    let mut policy = Harness::new(second_step_settings(), 1);
    // The second steps of earlier queries take 300 ms of a latency objective of 1000 ms, so that a
    // partial first answer is due after about 700 ms.
    for k in 1..30 {
        let name = format!("u{k}");
        policy.submit(&name, &[0]);
        policy.end_attempt(&format!("{name}.0"), 0, Outcome::Served, 20.0);
        policy.advance(5.0, vec![second_step_part(&format!("{name}x"), k, 1.0)]);
        policy.end_attempt(&format!("{name}x"), 0, Outcome::Served, 295.0);
    }
    policy.submit("q", &[0, 1]);
    let submitted = policy.now;
    policy.end_attempt("q.0", 0, Outcome::Served, 20.0);
    while policy.responses_after(5.0, vec![]).is_empty() {}
    let first_answer = policy.now - submitted;
    assert!(
        first_answer > 600.0 && first_answer < 750.0,
        "partial answer after {first_answer} ms, expected between 600 and 750 ms"
    );
}
