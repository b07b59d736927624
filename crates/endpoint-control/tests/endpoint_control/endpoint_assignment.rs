//! Assignment: the clusters and endpoints that proxies receive.

use crate::parameters::{LEASE_TIMES, SLOW_START_RULE, at_micros, at_seconds};
use broker_types::server::{NodeId, ServingState};
use broker_types::time::Timestamp;
use endpoint_control::endpoint_assignment::{
    CellCluster, Health, SlowStartAssigner, SlowStartEndpoint, assign_clusters,
};
use endpoint_control::leases::LeaseTable;
use endpoint_control::slow_start::ControlInstance;
use endpoint_control::{ProxyName, ServerView};
use proptest::prelude::*;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Creates the view of a healthy, warmed-up server. Servers with even numbers are in cell 0, the
/// others in cell 1.
fn view(number: usize) -> ServerView {
    ServerView {
        name: NodeId(format!("s{number:02}").into()),
        address: SocketAddr::from(([127, 0, 0, 1], 9000 + number as u16)),
        cell: number % 2,
        zone: Some(number % 3),
        state: ServingState::Serving,
        ejected_until: None,
        started_at: None,
        relative_latency: 1.0,
    }
}

/// Returns the clusters that are assigned at the time `now` when no quorum has ejected a server.
fn clusters(now: Timestamp, views: &[ServerView]) -> Vec<CellCluster> {
    assign_clusters(now, views, &BTreeMap::new(), &SLOW_START_RULE)
}

/// Returns the row and the health of each endpoint of a cell's cluster.
fn health(clusters: &[CellCluster], cell: usize) -> Vec<(usize, Health)> {
    clusters[cell]
        .endpoints
        .iter()
        .map(|endpoint| (endpoint.row, endpoint.health))
        .collect()
}

#[test]
fn cells_become_clusters_whose_rows_do_not_change_with_health() {
    let mut views: Vec<ServerView> = (0..6).map(view).collect();
    views[2].state = ServingState::Draining;
    views[4].ejected_until = Some(at_micros(10));
    assert_eq!(
        health(&clusters(at_micros(5), &views), 0),
        [
            (0, Health::Healthy),
            (1, Health::Draining),
            (2, Health::Unhealthy)
        ]
    );
    assert_eq!(
        health(&clusters(at_micros(10), &views), 0)[2].1,
        Health::Healthy
    );
    let ejected_until = BTreeMap::from([(views[1].name.clone(), at_micros(20))]);
    let clusters = assign_clusters(at_micros(10), &views, &ejected_until, &SLOW_START_RULE);
    assert_eq!(health(&clusters, 1)[0].1, Health::Unhealthy);
}

/// Guards against a proxy that sends nothing to a cell because none of its endpoints is healthy,
/// although some of the ejected servers may work.
#[test]
fn servers_of_a_cell_are_assigned_as_healthy_when_all_are_ejected() {
    let mut views: Vec<ServerView> = (0..4).map(view).collect();
    for ejected in &mut views[..3] {
        ejected.ejected_until = Some(at_micros(10));
    }
    let clusters = clusters(at_micros(5), &views);
    assert_eq!(
        health(&clusters, 0),
        [(0, Health::Healthy), (1, Health::Healthy)]
    );
    assert_eq!(
        health(&clusters, 1),
        [(0, Health::Unhealthy), (1, Health::Healthy)]
    );
}

#[test]
fn weight_decreases_in_steps_with_latency() {
    let weight = |relative_latency: f64| {
        let view = ServerView {
            relative_latency,
            ..view(0)
        };
        clusters(at_micros(0), &[view])[0].endpoints[0].weight
    };
    assert_eq!(
        [0.1, 0.5, 1.0, 1.1, 2.0, 100.0, f64::NAN, -1.0].map(weight),
        [128, 128, 64, 64, 32, 16, 64, 64]
    );
}

#[test]
fn server_that_is_warming_up_is_assigned_only_to_lease_holders() {
    let mut views: Vec<ServerView> = (0..4).map(view).collect();
    views[0].started_at = Some(at_micros(0));
    let proxies: Vec<ProxyName> = (0..10).map(|number| format!("p{number}").into()).collect();
    let mut leases = LeaseTable::new(LEASE_TIMES);
    let assigner = SlowStartAssigner {
        views: &views,
        proxies: &proxies,
        rule: &SLOW_START_RULE,
        instance: ControlInstance {
            number: 0,
            count: 1,
        },
    };
    let mut assign = |now: Timestamp| -> BTreeMap<ProxyName, Vec<SlowStartEndpoint>> {
        assigner.assign_endpoints(now, &mut leases)
    };
    assert_eq!(
        health(&clusters(at_micros(0), &views), 0),
        [(1, Health::Healthy)]
    );
    let first = assign(at_micros(0));
    let endpoints = first.values().flatten();
    assert_eq!(
        endpoints
            .map(|endpoint| endpoint.max_in_flight)
            .sum::<u32>(),
        SLOW_START_RULE.max_in_flight(Duration::ZERO)
    );
    let second = assign(at_seconds(1));
    assert!(
        first.keys().all(|proxy| second.contains_key(proxy)),
        "proxies with a lease must keep it"
    );
    let warmed_up = at_seconds(16);
    assert!(assign(warmed_up).is_empty());
    assert_eq!(health(&clusters(warmed_up, &views), 0).len(), 2);
}

proptest! {
    #[test]
    fn leases_of_all_instances_together_stay_within_the_limit_of_a_server(
        proxies in 0usize..40,
        instances in 1u32..6,
        ages in prop::collection::vec(0u64..16_000_000, 1..20),
    ) {
        let mut started = view(0);
        started.started_at = Some(at_micros(0));
        let mut ages = ages;
        ages.sort_unstable();
        let mut tables: Vec<LeaseTable> =
            (0..instances).map(|_| LeaseTable::new(LEASE_TIMES)).collect();
        for age in ages {
            let now = at_micros(age);
            for (number, leases) in tables.iter_mut().enumerate() {
                let own_proxies: Vec<ProxyName> = (0..proxies)
                    .map(|proxy| format!("i{number}p{proxy}").into())
                    .collect();
                let assigner = SlowStartAssigner {
                    views: std::slice::from_ref(&started),
                    proxies: &own_proxies,
                    rule: &SLOW_START_RULE,
                    instance: ControlInstance { number: number as u32, count: instances },
                };
                assigner.assign_endpoints(now, leases);
            }
            let reserved: u32 = tables
                .iter()
                .map(|leases| leases.reserved_units(&started.name))
                .sum();
            prop_assert!(reserved <= SLOW_START_RULE.max_in_flight(Duration::from_micros(age)));
        }
    }
}
