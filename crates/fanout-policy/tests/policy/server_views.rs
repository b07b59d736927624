//! The aggregator's views of servers, and outcome reports of other observers that update them.

use crate::common::{endpoint, list_event, ring};
use fanout_policy::Aggregator;
use fanout_policy::api::{ClassIndex, Endpoint, ListUpdate, Ms, NodeId, ServingState, Settings};
use fanout_policy::view::OutcomeReport;

/// Time at which the endpoint list arrives, in milliseconds.
const START: Ms = 200.0;

/// Creates the endpoint list entry of the server `s{number}`, in one of two cells and in a zone of
/// its own.
fn server(number: usize, state: ServingState, started: Option<Ms>) -> Endpoint {
    Endpoint {
        state,
        zone: Some(number),
        started,
        ..endpoint(&format!("s{number}"), number % 2)
    }
}

/// Creates an aggregator whose endpoint list has four servers: one that has long been running, one
/// that is warming up, one that is draining and one that is removed.
fn aggregator() -> Aggregator {
    let settings = Settings {
        aggregators: 1,
        cells: 2,
        replica_cells: 1,
        shards: 2,
        max_parts_per_call: 4,
        call_cost: 1.0,
        max_attempts: 4,
        hedging: false,
        max_retry_after: None,
        ..ring()
    };
    let endpoints = vec![
        server(0, ServingState::Serving, None),
        server(1, ServingState::Serving, Some(100.0)),
        server(2, ServingState::Draining, None),
        server(3, ServingState::Removed, None),
    ];
    let mut aggregator = Aggregator::new(settings, 7);
    aggregator.on_batch(START, vec![list_event(ListUpdate::Snapshot, endpoints)]);
    aggregator
}

/// Creates a report about the server `s{number}` with these numbers of attempts by outcome.
fn report(number: usize, served: u64, errors: u64, connection_failures: u64) -> OutcomeReport {
    OutcomeReport {
        node: NodeId(format!("s{number}").into()),
        served,
        errors,
        connection_failures,
        mean_latency: Some(10.0),
    }
}

#[test]
fn views_show_listed_servers_with_state_and_warm_up() {
    let aggregator = aggregator();
    let views = aggregator.server_views(START);
    let seen: Vec<_> = views
        .iter()
        .map(|view| (view.cell, view.state, view.warming_since))
        .collect();
    let expected = [
        (0, ServingState::Serving, None),
        (1, ServingState::Serving, Some(100.0)),
        (0, ServingState::Draining, None),
    ];
    assert_eq!(seen, expected);
    assert_eq!(
        aggregator.server_views(10_100.0)[1].warming_since,
        None,
        "the server has warmed up 10 s after its start"
    );
}

#[test]
fn outcome_reports_eject_failing_server_and_show_its_recovery() {
    let mut aggregator = aggregator();
    let class = ClassIndex(0);
    let reports = [
        report(0, 0, 500, 0),
        report(1, 500, 1, 0),
        // A server that the aggregator doesn't know.
        report(9, 0, 5, 0),
    ];
    aggregator.apply_outcome_reports(1000.0, class, &reports);
    let views = aggregator.server_views(1001.0);
    assert!(
        views[0].ejected_until.is_some() && views[1].ejected_until.is_none(),
        "{views:?}"
    );
    assert!(
        views[0].error_rate > 0.4 && views[1].error_rate < 0.2,
        "{views:?}"
    );
    aggregator.apply_outcome_reports(9000.0, class, &[report(0, 500, 0, 0)]);
    assert!(aggregator.server_views(9001.0)[0].error_rate < 0.2);
    // A report for a class that doesn't exist is ignored.
    aggregator.apply_outcome_reports(9002.0, ClassIndex(7), &[report(0, 1, 1, 1)]);
}
