//! Retries: the maximum number of attempts, the retry budget, and poison queries.

use crate::common::{
    Harness, SentAttempt, all_ended, attempt_ended, final_responses, rejected, ring, sent_attempts,
    served,
};
use fanout_policy::api::{Action, Ms, Outcome, RetryBudget, Settings};
use std::collections::BTreeMap;

#[test]
fn query_is_rejected_immediately_after_its_last_attempt() {
    let mut policy = Harness::new(ring(), 1);
    let mut in_flight = policy.attempts_for("q", &[0]);
    let mut attempts = 0;
    let mut last_actions = Vec::new();
    while let Some(SentAttempt { part, .. }) = in_flight.pop() {
        last_actions = policy.end_attempt(&part, attempts, Outcome::Error, 10.0);
        in_flight.extend(sent_attempts(&last_actions));
        attempts += 1;
    }
    assert_eq!(attempts, 3);
    assert_eq!(final_responses(&last_actions), vec![rejected("q")]);
}

#[test]
fn retry_budget_holds_in_every_window() {
    let retry_budget = RetryBudget {
        free_attempts: 2.0,
        per_request: 0.1,
        window: 1000.0,
    };
    let settings = Settings {
        retry_budget: Some(retry_budget),
        ..ring()
    };
    let mut policy = Harness::new(settings, 1);
    let mut request_times: Vec<Ms> = Vec::new();
    let mut retry_times: Vec<Ms> = Vec::new();
    let mut attempts = BTreeMap::<String, u32>::new();
    for k in 0..400 {
        let actions = if k % 4 == 0 {
            // The query and its part each count as a request.
            request_times.extend([policy.now + 5.0; 2]);
            policy.submit(&format!("q{k}"), &[k % 6])
        } else {
            // Ends the latest attempt of every part. The aggregator ignores the ends of attempts
            // that have ended before.
            let error = |(part, count): (&String, &u32)| {
                attempt_ended(part, count - 1, Outcome::Error, 5.0)
            };
            policy.advance(5.0, attempts.iter().map(error).collect())
        };
        for SentAttempt { part, .. } in sent_attempts(&actions) {
            let count = attempts.entry(part).or_default();
            *count += 1;
            if *count == 1 {
                continue;
            }
            retry_times.push(policy.now);
            // The budget does not say whether the start of a window belongs to it, and must hold
            // in both cases. A request at the start is therefore left out, a retry is counted.
            let window_start = policy.now - retry_budget.window;
            let is_recent = |time: &&Ms| **time > window_start;
            let requests = request_times.iter().filter(is_recent).count();
            let is_counted = |time: &&Ms| **time >= window_start;
            let retries = retry_times.iter().filter(is_counted).count();
            let budget = retry_budget.free_attempts + retry_budget.per_request * requests as f64;
            assert!(
                retries as f64 <= budget,
                "{retries} retries in a window, budget {budget}"
            );
        }
    }
    assert!(
        retry_times.len() > 5,
        "expected more than 5 retries within the budget, found {}",
        retry_times.len()
    );
}

/// Guards against a poison query that crashes one server after the other: each retry would crash
/// one more. The policy recognizes it by its attempts that lost the connection to a server that has
/// not answered since: at least two, and more than it has parts that were served. Here two of four
/// attempts lose their connection, and no part was served.
#[test]
fn poison_query_is_rejected_and_not_retried() {
    let mut policy = Harness::new(ring(), 1);
    let sent = policy.attempts_for("bad", &[0, 1, 2, 3]);
    let lost = all_ended(&sent[..2], 0, Outcome::ConnectionLost, 20.0);
    let first = policy.advance(20.0, lost);
    assert!(
        sent_attempts(&first).is_empty(),
        "no part of a poison query may be retried: {first:?}"
    );
    assert_eq!(
        final_responses(&first),
        vec![rejected("bad")],
        "a poison query must be rejected at once"
    );
    let cancelled = first
        .iter()
        .filter(|action| matches!(action, Action::CancelAttempt { .. }))
        .count();
    assert_eq!(
        cancelled, 2,
        "both attempts that are still in flight must be cancelled"
    );
}

/// Guards against a healthy query that counts as a poison query: servers have answered four of its
/// parts, more than the two attempts that have lost their connection.
#[test]
fn lost_connections_among_answers_are_retried() {
    let mut policy = Harness::new(ring(), 1);
    let sent = policy.attempts_for("good", &[0, 1, 2, 3, 4, 5]);
    let mut events = all_ended(&sent[..2], 0, Outcome::ConnectionLost, 20.0);
    events.extend(served(&sent[2..6], 0, 20.0));
    assert_eq!(policy.attempts_after(20.0, events).len(), 2);
}

/// Guards against a part that uses up its attempts at overloaded servers within moments: three
/// attempts within six milliseconds failed a query of 18 parts while the other 17 were in flight.
#[test]
fn part_rejected_by_all_replicas_is_not_retried_immediately() {
    let settings = Settings {
        replica_cells: 1,
        ..ring()
    };
    let mut policy = Harness::new(settings, 1);
    policy.submit("q", &[0, 1]);
    let actions = policy.end_attempt("q.0", 0, Outcome::Overloaded, 5.0);
    assert_eq!(
        (sent_attempts(&actions), final_responses(&actions)),
        (vec![], vec![])
    );
    assert_eq!(policy.attempts_after(200.0, vec![]).len(), 1);
}
