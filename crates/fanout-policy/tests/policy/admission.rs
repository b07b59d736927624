//! Admission: which queries are rejected as soon as they arrive, with which retry-after value.

use crate::common::{
    Harness, SentAttempt, class, class_without_late_weight, final_responses, one_cell, rejected,
    ring, ring_with_class, sent_attempts, served,
};
use fanout_policy::api::{Action, Class, Event, Ms, Outcome, Settings};

/// Guards against the admission of ever more queries by an aggregator whose servers answer nothing.
/// The test reports the end of no attempt. The forecast latency of a query includes the outstanding
/// work at the servers and the time by which their oldest attempt is late, and soon exceeds the
/// admission limit.
#[test]
fn queries_are_rejected_with_retry_after_while_no_part_is_served() {
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
        "no part is ever served, yet only {rejections} of 200 queries were rejected at once"
    );
}

#[test]
fn client_retry_past_its_objective_is_recognized_by_its_shorter_time_left() {
    // All attempts of a client at one query share the client timeout, which is 4000 ms in the
    // settings of the class. The first 20 queries arrive with 3500 ms of it left, so the aggregator
    // takes this to be the usual time left, and takes a query with 2000 ms left to be a retry. From
    // the timeout in the settings it computes that the client sent its first attempt
    // 4000 - 2000 = 2000 ms ago. The latency objective of 1000 ms counts from that time and has
    // passed, so the retry is rejected.
    let mut policy = Harness::new(ring_with_class(class_without_late_weight()), 1);
    policy.answer_queries(20, 3500.0);
    let events = policy.query_events("again", 0, &[0], 2000.0);
    assert_eq!(policy.responses_after(5.0, events), vec![rejected("again")]);
    let events = policy.query_events("first", 0, &[0], 3500.0);
    assert_eq!(policy.attempts_after(5.0, events).len(), 1);
}

/// Guards against a query that counts as a retry because it has waited in the broker: 2900 ms of its
/// client's time are left, and it has waited 600 ms, so its client set the usual 3500 ms. As a retry
/// it would be rejected: 4000 - 2900 = 1100 ms would count towards its objective of 1000 ms.
#[test]
fn query_that_has_waited_does_not_count_as_a_retry() {
    let mut policy = Harness::new(ring_with_class(class_without_late_weight()), 1);
    policy.answer_queries(20, 3500.0);
    let mut events = policy.query_events("waited", 0, &[0], 2900.0);
    let Event::Query(query) = &mut events[0] else {
        panic!("expected the arrival of the query as the first event");
    };
    query.waited = 600.0;
    assert_eq!(policy.attempts_after(5.0, events).len(), 1);
}

/// Guards against an estimate of the usual client timeout that follows a single query: all queries
/// with the usual timeout would then count as retries and be rejected.
#[test]
fn one_long_client_timeout_does_not_make_other_queries_retries() {
    let mut policy = Harness::new(ring_with_class(class_without_late_weight()), 1);
    policy.answer_queries(10, 2500.0);
    policy.answer_queries(1, 4000.0);
    let events = policy.query_events("q", 0, &[0], 2500.0);
    assert_eq!(policy.attempts_after(5.0, events).len(), 1);
}

/// Guards against admission that never recovers: rejected queries give no samples, so that
/// estimates from an overload could reject all later queries although the servers are idle.
#[test]
fn past_overload_does_not_reject_queries_of_an_idle_fleet_for_good() {
    // The ends of the parts are reported with the usual elapsed time of 20 ms, but only 900 ms
    // after the queries have arrived: the queries take much longer than forecast, although the
    // servers are fast. The admission limit of a query depends on the ratio of its weight per work
    // to the maximum of all queries so far. One query of a class with a much larger weight comes
    // first and sets this maximum. This reduces the limit of the class with the low weight nearly
    // to the minimum.
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
        "all of the last 20 queries are rejected; admitted: {admitted:?}"
    );
}

/// Returns the retry-after value with which a query of the class is rejected in a fleet without
/// servers. `max_retry_after` is the maximum that clients respect, in milliseconds.
fn retry_after_of(class: Class, max_retry_after: Ms) -> Option<Ms> {
    let settings = Settings {
        max_retry_after: Some(max_retry_after),
        ..ring_with_class(class)
    };
    let mut policy = Harness::new(settings, 0);
    match policy.responses_to("q", &[0]).as_slice() {
        [Action::Reject { retry_after, .. }] => *retry_after,
        responses => panic!("expected one rejection, found {responses:?}"),
    }
}

#[test]
fn retry_after_leaves_time_for_the_retry_to_meet_its_objective() {
    // Clients respect a retry-after value of up to twice the latency objective. A retry that waits
    // as long as that would miss the objective.
    let retry_after = retry_after_of(class(), 2000.0).unwrap();
    assert!(
        retry_after > 0.0 && retry_after < 500.0,
        "a retry-after value of {retry_after} ms with a latency objective of 1000 ms"
    );
    assert_eq!(
        retry_after_of(class(), 100.0),
        Some(100.0),
        "the value must not exceed the maximum that clients respect"
    );
}

/// Guards against servers that are busy with answers of little value. In the incident sev6538 an
/// answer after its latency objective had a tenth of its weight, and two thirds of the work of the
/// overloaded servers was for such answers.
#[test]
fn attempt_ends_at_the_objective_when_late_answers_have_little_weight() {
    // The policy ends attempts at the objective if the late weight is at most 0.2 times the share
    // of the servers' load that the aggregator does not observe. That share is 0.96 with a hundred
    // aggregators, so the limit is 0.192, between the two late weights.
    //
    // The timeouts are the latency objective of 1000 ms and the client timeout of 4000 ms, each
    // less two ticks of 5 ms, which are reserved for the reply to reach the client.
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
            "late weight {late_weight}, expected a timeout of {timeout} ms: {sent:?}"
        );
        let responses = policy.responses_after(995.0, vec![]);
        assert_eq!(
            responses, expected,
            "final responses 995 ms after a query with late weight {late_weight}"
        );
    }
}

/// Guards against wasted work. A query cannot be answered if one of its parts has no reachable
/// replica. Without the rejection its other parts would still run: seventeen of them if the query
/// has eighteen parts.
#[test]
fn query_is_rejected_immediately_while_a_part_has_no_reachable_replica() {
    let settings = Settings {
        replica_cells: 1,
        max_attempts: 1,
        ..ring()
    };
    let mut policy = Harness::new(settings, 1);
    // One attempt with this outcome is enough to eject the only replica of shard 0. The forecast
    // for a part of that shard assumes that no part is served before the ejection has ended.
    policy.submit("q", &[0]);
    policy.end_attempt("q.0", 0, Outcome::Unreachable, 5.0);
    let actions = policy.submit("next", &[0, 1]);
    assert_eq!(
        (sent_attempts(&actions), final_responses(&actions)),
        (vec![], vec![rejected("next")])
    );
    // After this time the ejection has ended, and queries are admitted again.
    policy.advance(8000.0, vec![]);
    assert_eq!(policy.attempts_for("later", &[0, 1]).len(), 2);
}

/// Guards against the admission of queries that one slow server makes late. The mean of the
/// forecasts over all parts hides that server. Hedges could avoid it, but where there are many
/// brokers, each may send only a few hedges. A query is therefore rejected for one late part if it
/// needs all its parts and there are many brokers.
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
        // The only server of shard 0 takes longer than the latency objective of 1000 ms.
        for k in 0..30 {
            let sent = policy.attempts_for(&format!("w{k}"), &[k % 6]);
            let elapsed = if k % 6 == 0 { 1100.0 } else { 40.0 };
            policy.advance(elapsed, served(&sent, 0, elapsed));
        }
        let responses = policy.responses_to("q", &[0, 1, 2, 3, 4, 5]);
        assert_eq!(
            !responses.is_empty(),
            is_rejected,
            "required share {required_share}, {aggregators} aggregators, responses {responses:?}"
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
    // A part has only one attempt, so one replica rejects it. This ejects the replica, each time
    // for about twice as long as the time before, up to a maximum, because no part is served in
    // between. The forecast latency of a query includes the rest of the ejection and in the end
    // exceeds the admission limit.
    let mut sent_for_last_query = vec![];
    for k in 0..12 {
        let mut in_flight = policy.attempts_for(&format!("q{k}"), &[0]);
        sent_for_last_query = in_flight.clone();
        let mut attempt = 0;
        while let Some(SentAttempt { part, .. }) = in_flight.pop() {
            let actions = policy.end_attempt(&part, attempt, Outcome::Overloaded, 5.0);
            in_flight.extend(sent_attempts(&actions));
            attempt += 1;
        }
    }
    assert!(
        sent_for_last_query.is_empty(),
        "the last query must be rejected at once, since any work for it would be wasted; found the \
         attempts {sent_for_last_query:?}"
    );
    policy.advance(6000.0, vec![]);
    assert!(
        !policy.attempts_for("later", &[0]).is_empty(),
        "parts must be sent again once the ejections have ended"
    );
}
