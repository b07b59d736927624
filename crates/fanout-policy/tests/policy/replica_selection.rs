//! Selection of the replica rows of a query and of the server for each part.

use crate::common::{
    Harness, SentAttempt, attempt_ended, endpoint, final_responses, one_cell, rejected, ring,
    sent_attempts, servers_of, two_cells,
};
use fanout_policy::api::{Endpoint, Event, ListUpdate, Ms, Outcome, ServingState, Settings};
use std::collections::{BTreeMap, BTreeSet};

#[test]
fn parts_of_adjacent_shards_share_servers_on_a_ring() {
    let settings = Settings {
        call_cost: 10.0,
        ..ring()
    };
    let mut policy = Harness::new(settings, 1);
    let actions = policy.submit("q", &[0, 1, 2, 3, 4, 5]);
    let sent = sent_attempts(&actions);
    assert_eq!(sent.len(), 6);
    for SentAttempt { part, node, .. } in &sent {
        let shard: usize = part[2..].parse().unwrap();
        let cell: usize = node[1..2].parse().unwrap();
        assert!(
            (cell + 6 - shard) % 6 < 3,
            "{part} was sent to {node}, which doesn't hold its shard"
        );
    }
    assert!(
        servers_of(&actions).len() <= 3,
        "the parts of each of three rows must share a call to one server: {sent:?}"
    );
}

#[test]
fn one_server_receives_all_parts_of_a_cell() {
    let settings = Settings {
        call_cost: 10.0,
        ..two_cells()
    };
    let mut policy = Harness::new(settings, 3);
    let sent = policy.attempts_for("q", &[0, 1, 2, 3, 4, 5]);
    for cell in ["c0", "c1"] {
        let nodes = sent.iter().map(|attempt| &attempt.node);
        let nodes_of_cell: BTreeSet<_> = nodes.filter(|node| node.starts_with(cell)).collect();
        assert_eq!(
            nodes_of_cell.len(),
            1,
            "all parts for {cell} must go to one of its servers: {sent:?}"
        );
    }
}

#[test]
fn rows_are_selected_at_random() {
    let mut policy = Harness::new(two_cells(), 3);
    let mut nodes = BTreeSet::new();
    for k in 0..30 {
        nodes.insert(policy.serve_part(&format!("q{k}"), 0, 5.0));
    }
    assert_eq!(nodes.len(), 3);
}

#[test]
fn empty_cell_is_served_by_other_replica_cells() {
    let mut policy = Harness::new(ring(), 1);
    let removed = |name: &str, cell| Endpoint {
        state: ServingState::Removed,
        ..endpoint(name, cell)
    };
    let endpoints = vec![removed("c1n0", 1), removed("c2n0", 2), endpoint("c0n1", 0)];
    policy.update_list(ListUpdate::Delta, endpoints);
    let sent = policy.attempts_for("q", &[0, 1]);
    assert!(
        sent.iter()
            .any(|attempt| attempt.part == "q.0" && attempt.node.starts_with("c0"))
    );
    assert!(
        sent.iter()
            .any(|attempt| attempt.part == "q.1" && attempt.node == "c3n0")
    );
}

/// Adjacent shards of a query that makes the fan-out width visible: its parts go to six servers
/// when the query contacts one replica row, and to fewer servers when it contacts more rows.
const ADJACENT_SHARDS: [usize; 6] = [0, 1, 2, 3, 4, 5];

/// Submits a one-part query every `interval` milliseconds, twelve in all, and ends the attempt of
/// each with `outcome`.
fn submit_queries_with_outcome(policy: &mut Harness, outcome: Outcome, interval: Ms) {
    for k in 0..12 {
        let sent = policy.attempts_for(&format!("f{k}"), &[0]);
        let end = attempt_ended(&sent[0].part, 0, outcome, 5.0);
        policy.advance(interval, vec![end]);
    }
}

#[test]
fn width_narrows_after_overload_and_stays_wide_after_answers() {
    let settings = Settings {
        max_attempts: 1,
        call_cost: 10.0,
        ..ring()
    };
    let mut overloaded = Harness::new(settings.clone(), 1);
    // The wider the fan-out, the fewer servers the parts of adjacent shards go to.
    let servers_before = servers_of(&overloaded.submit("before", &ADJACENT_SHARDS)).len();
    submit_queries_with_outcome(&mut overloaded, Outcome::Overloaded, 6000.0);
    overloaded.advance(2000.0, vec![]);
    let servers_after_overload = servers_of(&overloaded.submit("after", &ADJACENT_SHARDS)).len();
    assert!(
        servers_after_overload > servers_before,
        "servers contacted by a query: {servers_after_overload} after overload, {servers_before} \
         before; expected more after overload"
    );

    let mut healthy = Harness::new(settings, 1);
    submit_queries_with_outcome(&mut healthy, Outcome::Served, 500.0);
    let servers_after_answers = servers_of(&healthy.submit("after", &ADJACENT_SHARDS)).len();
    assert!(
        servers_after_answers <= 3,
        "{servers_after_answers} servers contacted by a query after answers, expected at most 3"
    );
}

/// Traffic across zones has a cost, which counts like a higher latency when replicas are compared.
/// Rows are selected at random nevertheless: a replica in another zone receives its share of the
/// parts as long as it is not slower.
#[test]
fn same_zone_replica_is_preferred_when_it_is_not_slower() {
    let settings = Settings {
        zone: Some(1),
        max_parts_per_call: 1,
        ..one_cell()
    };
    let mut policy = Harness::new(settings, 0);
    let in_zone = |zone: usize| Endpoint {
        zone: Some(zone),
        ..endpoint(&format!("z{zone}"), 0)
    };
    let endpoints = (0..3).map(in_zone).collect();
    policy.update_list(ListUpdate::Snapshot, endpoints);
    let even = policy.run_traffic(90, &[], Outcome::Served);
    assert!(
        even.values().all(|n| *n > 15),
        "attempts by server at equal latency: {even:?}"
    );
    // Replicas in other zones are now slower, by a difference that would not move parts between two
    // replicas of the same zone.
    let mut attempts_by_server = BTreeMap::new();
    for n in 0..90 {
        for SentAttempt { part, node, .. } in policy.attempts_for(&format!("u{n}"), &[0]) {
            let elapsed = if node == "z1" { 30.0 } else { 60.0 };
            *attempts_by_server.entry(node).or_insert(0) += 1;
            policy.advance(
                elapsed,
                vec![attempt_ended(&part, 0, Outcome::Served, elapsed)],
            );
        }
    }
    assert!(
        attempts_by_server["z1"] > 45,
        "attempts by server when other zones are slower: {attempts_by_server:?}"
    );
}

/// Guards against a cost hint that is far too large and makes the forecast exceed the admission
/// limit.
#[test]
fn absurd_cost_hint_does_not_reject_the_query() {
    let mut policy = Harness::new(ring(), 1);
    let mut events = policy.query_events("q", 0, &[0, 1], 4000.0);
    for event in &mut events {
        if let Event::Part(part) = event {
            part.cost_hint = Some(50_000.0);
        }
    }
    let actions = policy.advance(5.0, events);
    assert_eq!(sent_attempts(&actions).len(), 2);
    assert!(final_responses(&actions).is_empty());
}

#[test]
fn query_for_a_shard_without_replicas_is_rejected_immediately() {
    let mut policy = Harness::new(ring(), 0);
    assert_eq!(policy.responses_to("q", &[0]), vec![rejected("q")]);
}

/// Guards against a shard that becomes unavailable because its only replica is ejected.
#[test]
fn last_replica_is_used_even_after_errors() {
    let settings = Settings {
        replica_cells: 1,
        ..ring()
    };
    let mut policy = Harness::new(settings, 1);
    // The only replica fails three attempts, which is enough for an ejection.
    policy.run_traffic(1, &["c0n0"], Outcome::Error);
    assert_eq!(
        servers_of(&policy.submit("q", &[0])),
        BTreeSet::from(["c0n0".to_string()])
    );
}

/// Guards against a slow server that keeps receiving parts until several of its answers were slow.
#[test]
fn single_very_slow_answer_moves_parts_to_other_replicas() {
    let mut policy = Harness::new(ring(), 1);
    let slow = policy.attempts_for("slow", &[0])[0].clone();
    policy.end_attempt(&slow.part, 0, Outcome::Served, 280.0);
    for k in 0..12 {
        let sent = policy.attempts_for(&format!("q{k}"), &[0]);
        assert_ne!(sent[0].node, slow.node);
        policy.advance(
            20.0,
            vec![attempt_ended(&sent[0].part, 0, Outcome::Served, 40.0)],
        );
    }
}
