//! Hedged requests, and cancellation of overdue attempts.

use crate::common::{
    Harness, SentAttempt, attempt_ended, cancels_an_attempt, one_cell, part_id, ring,
    ring_without_hedging, sent_attempts, served,
};
use fanout_policy::api::{Action, Event, Outcome, Settings};

#[test]
fn overdue_part_is_hedged_on_another_server() {
    let mut policy = Harness::new(ring(), 1);
    let first = policy.attempts_for("q", &[0]);
    let mut hedges = Vec::new();
    for _ in 0..60 {
        hedges.extend(policy.attempts_after(10.0, vec![]));
    }
    assert_eq!(hedges.len(), 1);
    assert_ne!(hedges[0].node, first[0].node);
}

/// Returns the number of hedges that one aggregator sends for ten unanswered queries, whose parts
/// are all at different servers, when it is one of `aggregators` aggregators.
fn hedges_of_one_aggregator(aggregators: usize) -> usize {
    let settings = Settings {
        aggregators,
        cells: 60,
        shards: 180,
        ..ring()
    };
    let mut policy = Harness::new(settings, 1);
    let mut events = Vec::new();
    for k in 0..10 {
        events.extend(policy.query_events(&format!("q{k}"), 0, &[6 * k], 4000.0));
    }
    let first = policy.attempts_after(5.0, events).len();
    assert_eq!(first, 10);
    policy.attempts_after(600.0, vec![]).len()
}

/// At overloaded servers all attempts are late. If each of a hundred brokers sent as many hedges as
/// suit a fleet of three brokers, the hedges would double the load of those servers.
///
/// The ten queries and their ten parts count as 20 requests. The default budget of one of three
/// brokers is 6 hedges and 0.3 per request: all ten parts are hedged. The budget of one of a
/// hundred brokers is 0.24 hedges and 0.1 per request, which allows two.
#[test]
fn hedges_of_many_aggregators_together_are_limited() {
    assert_eq!([3, 100].map(hedges_of_one_aggregator), [10, 2]);
}

/// Guards against a query that fails because of one lost answer or one slow server. Without hedging
/// a part may have only one attempt in flight: the overdue attempt has to be cancelled first, and
/// the retry is sent once the end of the cancelled attempt is reported.
#[test]
fn overdue_attempt_is_cancelled_and_retried_elsewhere_without_hedging() {
    let mut policy = Harness::new(ring_without_hedging(), 1);
    let first = policy.attempts_for("q", &[0]);
    let cancellation = Action::CancelAttempt {
        part: part_id("q.0"),
        attempt: 0,
    };
    let mut batches = (0..60).map(|_| policy.advance(10.0, vec![]));
    let cancelling_batch = batches
        .find(|actions| actions.contains(&cancellation))
        .unwrap();
    assert!(sent_attempts(&cancelling_batch).is_empty());
    let cancelled = attempt_ended("q.0", 0, Outcome::Cancelled, 300.0);
    let retries = policy.attempts_after(5.0, vec![cancelled]);
    assert_eq!(retries.len(), 1);
    assert_ne!(retries[0].node, first[0].node);
    assert!((0..20).all(|_| policy.attempts_after(10.0, vec![]).is_empty()));
}

/// Guards against the waste of work that a server has nearly finished: an answer that takes
/// slightly longer than forecast usually still arrives.
#[test]
fn slightly_late_attempt_is_not_cancelled() {
    let mut policy = Harness::new(ring_without_hedging(), 1);
    // Three replicas receive three parts each. The last part has two others before it at its
    // replica, so that its forecast includes their work. All parts but the last are then served:
    // the replicas have no other work, and a retry would be fast. The last part must not be
    // cancelled within the first 350 ms after that, and must be cancelled within the next 350 ms.
    let sent: Vec<_> = (0..9)
        .flat_map(|n| policy.attempts_for(&format!("t{n}"), &[0]))
        .collect();
    let ends = served(&sent[..8], 0, 100.0);
    let mut is_cancelled = |batches: usize, events: Vec<Event>| {
        let in_first_batch = cancels_an_attempt(&policy.advance(50.0, events));
        in_first_batch || (0..batches).any(|_| cancels_an_attempt(&policy.advance(10.0, vec![])))
    };
    assert!(!is_cancelled(30, ends));
    assert!(is_cancelled(30, vec![]));
}

#[test]
fn overdue_part_is_not_hedged_when_hedging_is_disabled() {
    let settings = Settings {
        hedging: false,
        cancellation: false,
        ..ring()
    };
    let mut policy = Harness::new(settings, 1);
    policy.submit("q", &[0]);
    for _ in 0..60 {
        assert!(policy.attempts_after(10.0, vec![]).is_empty());
    }
}

#[test]
fn hedge_is_sent_sooner_when_the_other_replica_is_idle() {
    // The first attempt is in flight equally long in both runs. In one of them, further queries
    // load the other replica before the hedge is due.
    let batches_until_hedge = |other_queries: usize| {
        let mut policy = Harness::new(one_cell(), 2);
        policy.answer_queries(20, 4000.0);
        let first = policy.attempts_for("q", &[0])[0].clone();
        for k in 0..other_queries {
            policy.submit(&format!("f{k}"), &[0]);
        }
        let is_hedged = |sent: &[SentAttempt]| sent.iter().any(|hedge| hedge.part == first.part);
        (0..300)
            .position(|_| is_hedged(&policy.attempts_after(5.0, vec![])))
            .unwrap_or(300)
    };
    let (idle, loaded) = (batches_until_hedge(0), batches_until_hedge(12));
    assert!(
        idle < loaded,
        "hedge after {idle} batches with an idle replica, after {loaded} with a loaded one"
    );
}
