//! Admission of queries, and the retry-after value of rejected ones.

use crate::common::{
    Harness, SentAttempt, class, class_without_late_weight, final_responses, one_cell, rejected,
    ring, ring_with_class, sent_attempts, served,
};
use fanout_policy::api::{Action, Class, Ms, Outcome, Settings};

#[test]
fn timeouts_make_admission_reject_with_retry_after() {
    let settings = Settings {
        hedging: false,
        ..ring_with_class(class_without_late_weight())
    };
    let mut policy = Harness::new(settings, 1);
    let mut rejections = 0;
    for k in 0..200 {
        let name = format!("q{k}");
        let actions = policy.submit(&name, &[0, 1, 2, 3, 4, 5]);
        if final_responses(&actions).contains(&rejected(&name)) {
            rejections += 1;
        }
        policy.advance(20.0, vec![]);
    }
    assert!(
        rejections > 100,
        "no part is ever served, yet only {rejections} queries were rejected"
    );
}

#[test]
fn client_retry_past_its_objective_is_recognized_by_its_shorter_deadline() {
    // The client's timeout over all its attempts is 4000 ms: with 2000 ms left instead of the usual
    // 3500 ms, its first attempt was 2000 ms ago.
    let mut policy = Harness::new(ring_with_class(class_without_late_weight()), 1);
    policy.answer_queries(20, 3500.0);
    let events = policy.query_events("again", 0, &[0], 2000.0);
    assert_eq!(policy.responses_after(5.0, events), vec![rejected("again")]);
    let events = policy.query_events("first", 0, &[0], 3500.0);
    assert_eq!(policy.attempts_after(5.0, events).len(), 1);
}

#[test]
fn one_long_client_timeout_does_not_make_other_queries_retries() {
    let mut policy = Harness::new(ring_with_class(class_without_late_weight()), 1);
    policy.answer_queries(10, 2500.0);
    policy.answer_queries(1, 4000.0);
    let events = policy.query_events("q", 0, &[0], 2500.0);
    assert_eq!(policy.attempts_after(5.0, events).len(), 1);
}

#[test]
fn past_overload_does_not_reject_queries_of_an_idle_fleet_for_good() {
    // Queries end long after their forecast, at servers whose answers show the usual latency. A
    // class with a much larger weight leaves this one the least share of its time.
    let low_weight = class_without_late_weight();
    let high_weight = Class {
        priority_weight: 50.0,
        ..low_weight.clone()
    };
    let settings = Settings {
        classes: vec![low_weight, high_weight],
        max_attempts: 1,
        ..ring()
    };
    let mut policy = Harness::new(settings, 1);
    let events = policy.query_events("high", 1, &[0], 4000.0);
    let sent = policy.attempts_after(5.0, events);
    policy.end_attempt(&sent[0].part, 0, Outcome::Served, 20.0);
    let admitted: Vec<bool> = (0..60)
        .map(|k| {
            let sent = policy.attempts_for(&format!("q{k}"), &[0]);
            policy.advance(900.0, served(&sent, 0, 20.0));
            !sent.is_empty()
        })
        .collect();
    assert!(
        admitted[40..].contains(&true),
        "all are rejected: {admitted:?}"
    );
}

/// The retry-after value of a query of this class without any server, where clients respect at most
/// `max_retry_after`.
fn retry_after_of(class: Class, max_retry_after: Ms) -> Option<Ms> {
    let settings = Settings {
        max_retry_after: Some(max_retry_after),
        ..ring_with_class(class)
    };
    let mut policy = Harness::new(settings, 0);
    match policy.responses_to("q", &[0]).as_slice() {
        [Action::Reject { retry_after, .. }] => *retry_after,
        responses => panic!("{responses:?}"),
    }
}

#[test]
fn retry_after_lets_the_retry_meet_its_objective() {
    // Clients respect up to twice the latency objective; a retry after that time would earn
    // nothing.
    let retry_after = retry_after_of(class(), 2000.0).unwrap();
    assert!(
        retry_after > 0.0 && retry_after < 500.0,
        "{retry_after} of an objective of 1000"
    );
    assert_eq!(
        retry_after_of(class(), 100.0),
        Some(100.0),
        "never longer than clients respect"
    );
}

/// In sev6538 an answer past its objective earned a tenth, and two thirds of the work of overloaded
/// servers was late.
#[test]
fn attempt_ends_at_the_objective_when_late_answers_earn_little() {
    for (late_weight, timeout, expected) in
        [(0.1, 990.0, vec![rejected("q")]), (0.3, 3990.0, vec![])]
    {
        let class = Class {
            late_weight,
            ..class()
        };
        let settings = Settings {
            aggregators: 100,
            ..ring_with_class(class)
        };
        let mut policy = Harness::new(settings, 1);
        let sent = policy.attempts_for("q", &[0]);
        assert!(
            (sent[0].timeout.unwrap() - timeout).abs() < 1.0,
            "{late_weight}: {sent:?}"
        );
        let responses = policy.responses_after(995.0, vec![]);
        assert_eq!(responses, expected, "{late_weight}");
    }
}

/// Otherwise seventeen parts of a query run for nothing while the eighteenth has no reachable
/// replica.
#[test]
fn query_is_rejected_immediately_while_a_part_has_no_reachable_replica() {
    let settings = Settings {
        replica_cells: 1,
        max_attempts: 1,
        ..ring()
    };
    let mut policy = Harness::new(settings, 1);
    policy.submit("q", &[0]);
    policy.end_attempt("q.0", 0, Outcome::Unreachable, 5.0);
    let actions = policy.submit("next", &[0, 1]);
    assert_eq!(
        (sent_attempts(&actions), final_responses(&actions)),
        (vec![], vec![rejected("next")])
    );
    policy.advance(8000.0, vec![]);
    assert_eq!(policy.attempts_for("later", &[0, 1]).len(), 2);
}

/// A mean over many parts hides the one server that makes the query late, and each of many brokers
/// may send few hedges around that server.
#[test]
fn query_that_needs_all_parts_is_rejected_for_one_late_part() {
    for (required_share, aggregators, is_rejected) in
        [(1.0, 100, true), (1.0, 2, false), (0.8, 100, false)]
    {
        let class = Class {
            required_share,
            minimum_share: required_share,
            ..class()
        };
        let settings = Settings {
            aggregators,
            replica_cells: 1,
            ..ring_with_class(class)
        };
        let mut policy = Harness::new(settings, 1);
        for k in 0..30 {
            let sent = policy.attempts_for(&format!("w{k}"), &[k % 6]);
            let elapsed = if k % 6 == 0 { 1100.0 } else { 40.0 };
            policy.advance(elapsed, served(&sent, 0, elapsed));
        }
        let responses = policy.responses_to("q", &[0, 1, 2, 3, 4, 5]);
        assert_eq!(
            !responses.is_empty(),
            is_rejected,
            "{required_share} among {aggregators}"
        );
    }
}

#[test]
fn query_is_rejected_immediately_while_all_replicas_are_overloaded() {
    let settings = Settings {
        classes: vec![class_without_late_weight()],
        max_attempts: 1,
        ..one_cell()
    };
    let mut policy = Harness::new(settings, 2);
    policy.answer_queries(10, 4000.0);
    // Each time that both replicas reject a part they are avoided for longer.
    let mut last = vec![];
    for k in 0..12 {
        let mut open = policy.attempts_for(&format!("q{k}"), &[0]);
        last = open.clone();
        let mut attempt = 0;
        while let Some(SentAttempt { part, .. }) = open.pop() {
            let actions = policy.end_attempt(&part, attempt, Outcome::Overloaded, 5.0);
            open.extend(sent_attempts(&actions));
            attempt += 1;
        }
    }
    assert!(
        last.is_empty(),
        "the work for its other parts would be wasted"
    );
    policy.advance(6000.0, vec![]);
    assert!(
        !policy.attempts_for("later", &[0]).is_empty(),
        "a replica is used as soon as it may be"
    );
}
