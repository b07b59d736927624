//! Updates of the endpoint list.

use crate::common::{Harness, all_ended, endpoint, list_event, one_cell, ring};
use fanout_policy::Aggregator;
use fanout_policy::api::{
    Action, Endpoint, EndpointListSource, ListUpdate, Outcome, ServingState, Settings,
};

#[test]
fn nothing_is_sent_to_a_draining_or_removed_server() {
    let mut policy = Harness::new(ring(), 1);
    let endpoints = vec![Endpoint {
        state: ServingState::Draining,
        ..endpoint("c0n0", 0)
    }];
    policy.update_list(ListUpdate::Delta, endpoints);
    assert!(
        !policy
            .run_traffic(40, &[], Outcome::Served)
            .contains_key("c0n0")
    );
    let endpoints = vec![endpoint("c1n0", 1), endpoint("c3n0", 3)];
    policy.update_list(ListUpdate::Snapshot, endpoints);
    let seen = policy.run_traffic(40, &[], Outcome::Served);
    assert!(seen.keys().all(|n| n == "c1n0" || n == "c3n0"), "{seen:?}");
}

/// Guards against additional load on a list service that fails, since such a service is often
/// overloaded.
#[test]
fn failed_poll_is_repeated_after_a_delay() {
    let mut aggregator = Aggregator::new(
        Settings {
            list_source: EndpointListSource::Polled,
            ..ring()
        },
        3,
    );
    assert!(
        aggregator
            .on_batch(0.0, vec![])
            .contains(&Action::PollEndpointList)
    );
    assert!(
        !aggregator
            .on_batch(5.0, vec![])
            .contains(&Action::PollEndpointList)
    );
    let failed = vec![list_event(ListUpdate::Failed, vec![])];
    assert!(
        !aggregator
            .on_batch(10.0, failed)
            .contains(&Action::PollEndpointList),
        "the poll must not be repeated in the batch of its failure"
    );
    // Within the next 10 s the poll is repeated once. Its answer never arrives.
    let batch_times = (1..2000).map(|k| 10.0 + f64::from(k) * 5.0);
    let batches = batch_times.map(|time| aggregator.on_batch(time, vec![]));
    assert_eq!(
        batches
            .filter(|actions| actions.contains(&Action::PollEndpointList))
            .count(),
        1
    );
}

/// Guards against state that grows without limit: over time every server is replaced many times by
/// one with a new name.
#[test]
fn removed_servers_are_forgotten_once_unreferenced() {
    let mut policy = Harness::new(one_cell(), 0);
    let list = |names: &[&str]| {
        let endpoints = names.iter().map(|name| endpoint(name, 0)).collect();
        vec![list_event(ListUpdate::Snapshot, endpoints)]
    };
    policy.advance(5.0, list(&["stays", "busy"]));
    let in_flight: Vec<_> = (0..8)
        .flat_map(|n| policy.attempts_for(&format!("q{n}"), &[0]))
        .collect();
    for n in 0..100 {
        policy.advance(1500.0, list(&["stays", &format!("new{n}")]));
        policy.run_traffic(1, &[], Outcome::Served);
    }
    assert!(
        policy.aggregator.server_record_count() < 15,
        "{} servers have a record after 102 were listed, two at a time",
        policy.aggregator.server_record_count()
    );
    // Servers with attempts in flight are kept, so that the late ends of these attempts are
    // attributed to the right server.
    policy.advance(1500.0, all_ended(&in_flight, 0, Outcome::TimedOut, 4000.0));
    assert_eq!(
        policy
            .run_traffic(20, &[], Outcome::Served)
            .values()
            .sum::<usize>(),
        20
    );
}
