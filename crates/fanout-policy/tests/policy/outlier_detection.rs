//! Outlier detection: the ejection of servers that fail or don't answer, and of no others.

use crate::common::{
    Harness, SentAttempt, all_ended, attempt_ended, class, complete_answer, endpoint,
    final_responses, one_cell, ring, sent_attempts, served, servers_of, two_cells,
};
use fanout_policy::api::{Endpoint, Event, ListUpdate, Outcome, Settings};
use std::collections::{BTreeMap, BTreeSet};

/// Guards against a server that hangs and still receives parts until the first attempt there times
/// out.
#[test]
fn silent_server_is_avoided_before_any_timeout() {
    let mut policy = Harness::new(ring(), 1);
    for k in 0..6 {
        policy.serve_part(&format!("w{k}"), 0, 40.0);
    }
    let silent = policy.attempts_for("stuck", &[0])[0].node.clone();
    policy.advance(800.0, vec![]);
    for k in 0..10 {
        let sent = policy.attempts_for(&format!("n{k}"), &[0]);
        assert!(
            sent.iter().all(|attempt| attempt.node != silent),
            "{silent} has left an attempt unanswered for more than 800 ms: {sent:?}"
        );
        policy.advance(40.0, served(&sent, 0, 40.0));
    }
}

#[test]
fn server_with_fast_errors_is_ejected_and_used_again_later() {
    let mut policy = Harness::new(ring(), 1);
    let attempts_while_failing = policy.run_traffic(60, &["c1n0"], Outcome::Error)["c1n0"];
    assert!(
        attempts_while_failing < 20,
        "{attempts_while_failing} attempts for 60 queries at the failing server, expected fewer \
         than 20"
    );
    for _ in 0..100 {
        policy.advance(100.0, vec![]);
    }
    let attempts_by_server = policy.run_traffic(60, &[], Outcome::Served);
    assert!(
        attempts_by_server.get("c1n0").is_some_and(|n| *n > 3),
        "the recovered server c1n0 must receive more than 3 attempts: {attempts_by_server:?}"
    );
}

/// Guards against ejections for a fault of the aggregator itself: while its process is paused, it
/// receives no answers, and all its attempts time out.
#[test]
fn pause_of_the_aggregator_ejects_no_server() {
    // Returns how many of 12 queries use a server whose attempt has timed out. `receive` delivers
    // the timeouts, either on time or after a pause of the aggregator.
    let queries_at_timed_out_server = |receive: fn(&mut Harness, Vec<Event>)| {
        let mut policy = Harness::new(ring(), 1);
        policy.answer_queries(10, 4000.0);
        // The same three cells hold these four shards: shard `s` is held by cell `s % 6` and the two
        // cells after it.
        let sent = policy.attempts_for("q", &[0, 6, 12, 18]);
        receive(&mut policy, all_ended(&sent, 0, Outcome::TimedOut, 900.0));
        let timed_out_node = &sent[0].node;
        let next_queries = (0..12).map(|k| policy.submit(&format!("n{k}"), &[0]));
        next_queries
            .filter(|actions| servers_of(actions).contains(timed_out_node))
            .count()
    };
    // A single batch after 900 ms is much later than the aggregator's timer was due, which shows the
    // aggregator that it was paused.
    let after_pause = queries_at_timed_out_server(|policy, timeouts| {
        policy.run_batch(policy.now + 900.0, timeouts);
    });
    assert!(
        after_pause > 0,
        "the server must not be avoided, since the aggregator was paused and not the server"
    );
    // Here the timer fires as usual in the 900 ms.
    let in_time = queries_at_timed_out_server(|policy, timeouts| {
        policy.advance(900.0, timeouts);
    });
    assert_eq!(
        in_time, 0,
        "queries at a server that timed out while the aggregator was running"
    );
}

/// Guards against an aggregator that has to try each server of a zone that a network partition has
/// cut off.
#[test]
fn unreachable_zone_receives_fewer_attempts_when_zones_are_known() {
    // Each shard has two replicas: one in the unreachable zone, one in the other.
    let unreachable_attempts = |reachable_zone: Option<usize>, unreachable_zone: Option<usize>| {
        let settings = Settings {
            cells: 12,
            replica_cells: 1,
            aggregators: 1,
            ..ring()
        };
        let mut policy = Harness::new(settings, 0);
        let in_zone = |zone: Option<usize>, name: &str, cell| Endpoint {
            zone,
            ..endpoint(&format!("{name}{cell}"), cell)
        };
        let pair = |cell| {
            [
                in_zone(reachable_zone, "here", cell),
                in_zone(unreachable_zone, "there", cell),
            ]
        };
        policy.update_list(ListUpdate::Snapshot, (0..12).flat_map(pair).collect());
        let mut count = 0;
        for k in 0..12 {
            let sent = policy.attempts_for(&format!("q{k}"), &[k]);
            let is_unreachable = sent[0].node.starts_with("there");
            count += usize::from(is_unreachable);
            let outcome = if is_unreachable {
                Outcome::Unreachable
            } else {
                Outcome::Served
            };
            let more = policy.end_attempt(&sent[0].part, 0, outcome, 50.0);
            policy.advance(50.0, served(&sent_attempts(&more), 1, 50.0));
        }
        count
    };
    let with_zones = unreachable_attempts(Some(0), Some(1));
    let without_zones = unreachable_attempts(None, None);
    assert!(
        with_zones < without_zones,
        "{with_zones} attempts at unreachable servers with known zones, {without_zones} without"
    );
}

/// Guards against a server that is ejected for all classes, or for none, when only parts of one
/// class fail there.
#[test]
fn server_that_fails_one_class_is_avoided_by_that_class_only() {
    let settings = Settings {
        classes: vec![class(), class()],
        hedging: false,
        ..ring()
    };
    let mut policy = Harness::new(settings, 1);
    let faulty = "c1n0";
    let mut attempts_by_class = [0, 0];
    for k in 0..200 {
        let events = policy.query_events(&format!("q{k}"), k % 2, &[0], 4000.0);
        let sent = policy.attempts_after(5.0, events);
        let is_faulty = sent[0].node == faulty;
        // The first queries are not counted: until the class has failed a few times at the server,
        // the server is not avoided.
        attempts_by_class[k % 2] += usize::from(is_faulty && k > 40);
        // At the faulty server half of the first class's parts fail. All other parts are served, so
        // that the server never fails twice in a row and is not ejected for all classes.
        let outcome = if is_faulty && k % 4 == 0 {
            Outcome::Error
        } else {
            Outcome::Served
        };
        let more = policy.end_attempt(&sent[0].part, 0, outcome, 20.0);
        policy.advance(20.0, served(&sent_attempts(&more), 1, 20.0));
    }
    let [failing, other] = attempts_by_class;
    assert!(
        other > 10 && failing * 2 < other,
        "parts at {faulty}: {failing} of the class that fails there, {other} of the other"
    );
}

/// Guards against a healthy server that is avoided for good because it has left a single part
/// unanswered. Here that applies to both servers. If the lost part still counted after a server has
/// answered later ones, the forecasts for both servers would grow until queries are rejected.
#[test]
fn single_lost_part_at_each_server_does_not_reject_later_queries() {
    let settings = Settings {
        hedging: false,
        ..one_cell()
    };
    let mut policy = Harness::new(settings, 2);
    // Each of the two servers leaves its first part unanswered and serves all others.
    let mut servers_with_lost_part = BTreeSet::new();
    for k in 0..60 {
        let sent = policy.attempts_for(&format!("q{k}"), &[0]);
        assert_eq!(sent.len(), 1, "query {k} must not be rejected");
        if !servers_with_lost_part.insert(sent[0].node.clone()) {
            policy.end_attempt(&sent[0].part, 0, Outcome::Served, 20.0);
        }
    }
}

/// Servers close single connections at any time. Guards against two wrong conclusions from a lost
/// connection to a server that continues to answer. First, the server must not be ejected as
/// unreachable: it holds its shards alone, so that later queries would be rejected. Second, a query
/// with two lost connections must not count as a poison query, which seems to crash servers and is
/// therefore rejected without a retry. In both cases expected retries would be missing.
#[test]
fn lost_connection_among_answers_neither_ejects_the_server_nor_ends_the_query() {
    let settings = Settings {
        hedging: false,
        ..two_cells()
    };
    let mut policy = Harness::new(settings, 1);
    let mut retries_by_server = BTreeMap::new();
    for n in 0..40 {
        let answered = policy.attempts_for(&format!("b{n}"), &[0, 1, 2, 3]);
        let lost = policy.attempts_for(&format!("q{n}"), &[0, 1]);
        let mut events = served(&answered, 0, 10.0);
        events.extend(all_ended(&lost, 0, Outcome::ConnectionLost, 5.0));
        let actions = policy.advance(5.0, events);
        let expected = complete_answer(&format!("b{n}"));
        assert!(
            final_responses(&actions)
                .iter()
                .all(|response| *response == expected),
            "expected no final response but {expected:?}: {actions:?}"
        );
        let mut retries = sent_attempts(&actions);
        retries.extend(policy.attempts_after(20.0, vec![]));
        for SentAttempt { part, node, .. } in retries {
            *retries_by_server.entry(node).or_insert(0) += 1;
            policy.advance(5.0, vec![attempt_ended(&part, 1, Outcome::Served, 10.0)]);
        }
    }
    assert_eq!(
        retries_by_server.values().sum::<i32>(),
        80,
        "both parts of all 40 queries must be retried: {retries_by_server:?}"
    );
}
