//! Reports of load that this aggregator did not send itself: gossip of other aggregators, and the
//! load reports that servers put into their answers.
//!
//! A gossip message consists of entries of three bytes: two bytes of the server's short name, then
//! its status, which is outstanding work in steps or 255 for a server that fails.

use crate::common::{
    Harness, SentAttempt, all_ended, endpoint, one_cell, part_id, ring, ring_with_gossip,
    servers_of,
};
use fanout_policy::api::{Action, Event, ListUpdate, MAX_GOSSIP_BYTES, Ms, Outcome, Settings};
use std::collections::BTreeSet;

/// Returns the gossip bytes that another aggregator publishes after it has sent parts of the
/// shards: while these are in flight, or, with an `outcome`, after all of them have ended with it.
fn gossip_of_a_peer(settings: &Settings, shards: &[usize], outcome: Option<Outcome>) -> Vec<u8> {
    let mut peer = Harness::new(settings.clone(), 1);
    let sent = peer.attempts_for("other", shards);
    let actions = match outcome {
        Some(outcome) => peer.advance(150.0, all_ended(&sent, 0, outcome, 150.0)),
        None => peer.submit("o2", shards),
    };
    let mut message = Vec::new();
    for action in actions {
        if let Action::PublishLoad { bytes } = action {
            message.extend(bytes);
        }
    }
    message
}

/// Creates the event that a gossip message of the aggregator with this index has arrived.
fn gossip_from(aggregator: usize, bytes: &[u8]) -> Event {
    Event::Gossip {
        from: aggregator,
        bytes: bytes.to_vec(),
    }
}

/// Guards against parts that are sent to a server that other aggregators have loaded: without
/// gossip, such a server looks idle.
#[test]
fn work_reported_by_a_peer_moves_parts_to_idle_servers() {
    let settings = Settings {
        gossip: true,
        ..one_cell()
    };
    let mut policy = Harness::new(settings.clone(), 2);
    let gossip = gossip_of_a_peer(&settings, &[0], None);
    assert!(!gossip.is_empty() && gossip.len() <= MAX_GOSSIP_BYTES && gossip[2] > 0);
    // The first entry is about a server that the peer has sent work to. A load of 200 steps there
    // must send all parts of this aggregator to the other server.
    let loaded = gossip_from(1, &[gossip[0], gossip[1], 200]);
    policy.advance(5.0, vec![loaded]);
    let mut nodes = BTreeSet::new();
    for k in 0..6 {
        nodes.extend(servers_of(&policy.submit(&format!("n{k}"), &[0])));
    }
    assert_eq!(
        nodes.len(),
        1,
        "all parts must go to the idle server: {nodes:?}"
    );
}

#[test]
fn server_reported_unreachable_by_a_peer_is_avoided_until_it_answers_there() {
    let settings = ring_with_gossip();
    let mut policy = Harness::new(settings.clone(), 1);
    let gossip = gossip_of_a_peer(&settings, &[0], Some(Outcome::Unreachable));
    assert_eq!(gossip.len() % 3, 0);
    let unreachable: Vec<&[u8]> = gossip.chunks(3).filter(|entry| entry[2] == 255).collect();
    assert_eq!(unreachable.len(), 1);
    policy.advance(5.0, vec![gossip_from(1, &gossip)]);
    let others = servers_of_queries(&mut policy, "q", 20);
    assert!(
        others.len() < 3,
        "the unreachable one of three replicas must receive nothing: {others:?}"
    );
    // The same server name, now with the status of a server that answers and has no work.
    let recovered = [unreachable[0][0], unreachable[0][1], 0];
    policy.advance(5.0, vec![gossip_from(1, &recovered)]);
    let soon = servers_of_queries(&mut policy, "soon", 4);
    assert!(
        soon.len() < 3,
        "the recovered server is assumed to be slow at first: {soon:?}"
    );
    policy.advance(6000.0, vec![]);
    assert_eq!(servers_of_queries(&mut policy, "later", 60).len(), 3);
}

#[test]
fn malformed_gossip_and_unknown_senders_are_ignored() {
    let attempts_after = |gossip: Vec<Event>| {
        let mut policy = Harness::new(ring_with_gossip(), 1);
        policy.advance(5.0, gossip);
        (0..10)
            .map(|k| policy.attempts_for(&format!("q{k}"), &[0, 1]))
            .collect::<Vec<_>>()
    };
    let gossip = gossip_of_a_peer(&ring_with_gossip(), &[0], Some(Outcome::Unreachable));
    let truncated = &gossip[..gossip.len() - 1];
    let without_gossip = attempts_after(vec![]);
    let invalid = vec![
        gossip_from(1, &[]),
        gossip_from(1, truncated),
        gossip_from(99, &gossip),
    ];
    assert_eq!(without_gossip, attempts_after(invalid));
    assert_ne!(
        without_gossip,
        attempts_after(vec![gossip_from(1, &gossip)]),
        "valid gossip of a known aggregator must change the servers that parts are sent to"
    );
}

#[test]
fn no_gossip_is_sent_when_it_is_disabled() {
    let mut policy = Harness::new(ring(), 1);
    let actions = policy.submit("q", &[0, 1, 2]);
    assert!(
        !actions
            .iter()
            .any(|action| matches!(action, Action::PublishLoad { .. }))
    );
}

#[test]
fn load_report_moves_parts_to_the_idle_replica() {
    let parts_after_report = |load: f64| {
        let mut policy = Harness::new(one_cell(), 2);
        policy.answer_queries(4, 4000.0);
        let sent = policy.attempts_for("q", &[0])[0].clone();
        policy.advance(20.0, vec![served_with_load(&sent.part, 20.0, load)]);
        let soon = parts_sent_to(&sent.node, &mut policy, 3);
        policy.advance(20_000.0, vec![]);
        let later = parts_sent_to(&sent.node, &mut policy, 20);
        PartsAfterReport { soon, later }
    };
    assert_eq!(
        parts_after_report(30.0).soon,
        0,
        "parts sent to a server that reports thirty waiting requests"
    );
    assert!(
        parts_after_report(1e300).later > 0,
        "an absurdly large report must expire"
    );
    assert!(
        parts_after_report(f64::NAN).later > 0,
        "a report that is not a number must not keep parts away"
    );
}

/// Guards against a server that is avoided for good because of one old report. A server puts the
/// same report into many answers; the load in it has to decay from its first arrival on, while a
/// report with a different value starts anew.
#[test]
fn repeated_load_report_expires() {
    let parts_sent_to_a = |reported_load: fn(usize) -> f64| {
        let settings = Settings {
            max_parts_per_call: 1,
            ..one_cell()
        };
        let mut policy = Harness::new(settings, 0);
        let endpoints = vec![endpoint("a", 0), endpoint("b", 0)];
        policy.update_list(ListUpdate::Snapshot, endpoints);
        let mut parts_sent = 0;
        for n in 0..200 {
            for SentAttempt { part, node, .. } in policy.attempts_for(&format!("q{n}"), &[0]) {
                // The first queries are not counted: until then the aggregator has few reports.
                parts_sent += usize::from(node == "a" && n > 20);
                let load = if node == "a" { reported_load(n) } else { 0.0 };
                policy.advance(30.0, vec![served_with_load(&part, 30.0, load)]);
            }
        }
        parts_sent
    };
    let repeated = parts_sent_to_a(|_| 9.0);
    let new = parts_sent_to_a(|query| 9.0 + query as f64 / 1000.0);
    assert!(
        repeated > new + 10,
        "{repeated} parts with a repeated report, {new} parts with new reports"
    );
}

/// Submits `count` one-part queries, serves them all, and returns the servers that they were sent
/// to.
fn servers_of_queries(policy: &mut Harness, name: &str, count: usize) -> BTreeSet<String> {
    let serve = |k| policy.serve_part(&format!("{name}{k}"), 0, 20.0);
    (0..count).map(serve).collect()
}

/// Numbers of parts that a server receives after its load report.
struct PartsAfterReport {
    /// Parts of the three queries that follow the report.
    soon: usize,
    /// Parts of 20 queries that are submitted more than 20 seconds after the report.
    later: usize,
}

/// Submits one-part queries, serves them all, and returns how many were sent to the server `node`.
fn parts_sent_to(node: &str, policy: &mut Harness, queries: usize) -> usize {
    let serve = |k| policy.serve_part(&format!("n{k}-{}", policy.now), 0, 20.0);
    (0..queries)
        .map(serve)
        .filter(|server| server == node)
        .count()
}

/// Creates the event that the first attempt for a part was served, with the server's load report:
/// the number of requests that wait or run there.
fn served_with_load(part: &str, elapsed: Ms, load: f64) -> Event {
    Event::AttemptEnded {
        part: part_id(part),
        attempt: 0,
        outcome: Outcome::Served,
        elapsed,
        load: Some(load),
    }
}
