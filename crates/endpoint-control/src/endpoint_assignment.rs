//! The clusters and endpoints that proxies receive.
//!
//! A cell becomes a cluster: its servers hold the same shards, so each of them can answer, and no
//! other server can. A server's row, which is its position among the servers of its cell by name,
//! is part of its endpoint, so that a proxy that can route by it keeps the parts of a query to one
//! row. All proxies receive the same clusters of warmed-up servers. A server that is warming up is
//! not an endpoint of its cell's cluster: it is a cluster of its own, which only the holders of a
//! lease on it receive, with their units as its limit of requests in flight.

mod slow_start_assigner;

pub use slow_start_assigner::{SlowStartAssigner, SlowStartEndpoint};

use crate::ServerView;
use crate::slow_start::SlowStartRule;
use broker_types::server::{NodeId, ServingState};
use broker_types::time::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Weights of endpoints. Each is about 1.4 times the one before, so that small changes of the
/// latency change none.
const WEIGHTS: [u32; 7] = [16, 23, 32, 45, 64, 91, 128];
/// Index of the weight at the usual latency.
const USUAL_WEIGHT: usize = 4;
/// Steps between weights for each doubling of the latency.
const STEPS_PER_DOUBLING: f64 = 2.0;

/// Whether an endpoint is sent requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Health {
    /// It takes requests.
    Healthy,
    /// It finishes its requests and takes no others.
    Draining,
    /// It is ejected.
    Unhealthy,
}

/// A warmed-up server, as all proxies receive it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AssignedEndpoint {
    /// Name of the server.
    pub name: NodeId,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Index of its zone.
    pub zone: Option<usize>,
    /// Its position among the servers of its cell.
    pub row: usize,
    /// Its health.
    pub health: Health,
    /// Its share of the cluster's traffic, relative to the weights of the other endpoints.
    pub weight: u32,
}

/// The cluster of one cell.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CellCluster {
    /// Index of the cell.
    pub cell: usize,
    /// Its warmed-up servers, by name.
    pub endpoints: Vec<AssignedEndpoint>,
}

/// The clusters that all proxies receive at this moment. `ejected_until` holds the servers that a
/// quorum of proxies has ejected. If all servers of a cell that take requests are ejected, they are
/// assigned as healthy: some of them may work, and a proxy without any healthy endpoint sends
/// nothing.
#[must_use]
pub fn assign_clusters(
    now: Timestamp,
    views: &[ServerView],
    ejected_until: &BTreeMap<NodeId, Timestamp>,
    rule: &SlowStartRule,
) -> Vec<CellCluster> {
    let mut views_by_cell: BTreeMap<usize, Vec<&ServerView>> = BTreeMap::new();
    for view in views {
        if view.state != ServingState::Removed {
            views_by_cell.entry(view.cell).or_default().push(view);
        }
    }
    let snapshot = Snapshot {
        now,
        ejected_until,
        rule,
    };
    views_by_cell
        .into_iter()
        .map(|(cell, views)| snapshot.cluster(cell, views))
        .collect()
}

/// What determines the health of servers at one moment.
struct Snapshot<'a> {
    now: Timestamp,
    ejected_until: &'a BTreeMap<NodeId, Timestamp>,
    rule: &'a SlowStartRule,
}

impl Snapshot<'_> {
    fn cluster(&self, cell: usize, mut views: Vec<&ServerView>) -> CellCluster {
        views.sort_by(|a, b| a.name.cmp(&b.name));
        let all_ejected = views
            .iter()
            .filter(|view| self.takes_usual_traffic(view))
            .all(|view| self.is_ejected(view));
        let health = |view| {
            if all_ejected {
                health_without_ejections(view)
            } else {
                self.health(view)
            }
        };
        let endpoints = views
            .into_iter()
            .enumerate()
            .filter(|(_, view)| !self.is_slow_starting(view))
            .map(|(row, view)| AssignedEndpoint {
                name: view.name.clone(),
                address: view.address,
                zone: view.zone,
                row,
                health: health(view),
                weight: weight(view.relative_latency),
            });
        CellCluster {
            cell,
            endpoints: endpoints.collect(),
        }
    }

    fn health(&self, view: &ServerView) -> Health {
        if view.state == ServingState::Serving && self.is_ejected(view) {
            Health::Unhealthy
        } else {
            health_without_ejections(view)
        }
    }

    fn takes_usual_traffic(&self, view: &ServerView) -> bool {
        view.state == ServingState::Serving && !view.is_warming_up(self.now, self.rule)
    }

    fn is_slow_starting(&self, view: &ServerView) -> bool {
        view.state == ServingState::Serving && view.is_warming_up(self.now, self.rule)
    }

    /// Whether the policy or a quorum of proxies has ejected the server.
    fn is_ejected(&self, view: &ServerView) -> bool {
        let by_policy = view.ejected_until;
        let by_quorum = self.ejected_until.get(&view.name).copied();
        [by_policy, by_quorum]
            .into_iter()
            .flatten()
            .any(|until| until > self.now)
    }
}

/// The health of a server whose ejection, if any, is ignored.
fn health_without_ejections(view: &ServerView) -> Health {
    match view.state {
        ServingState::Serving => Health::Healthy,
        _ => Health::Draining,
    }
}

/// The weight of an endpoint of this latency. A latency that is not a positive number counts as the
/// usual one.
fn weight(relative_latency: f64) -> u32 {
    let latency = if relative_latency.is_finite() && relative_latency > 0.0 {
        relative_latency
    } else {
        1.0
    };
    let max_steps_down = USUAL_WEIGHT as f64;
    let max_steps_up = (WEIGHTS.len() - 1 - USUAL_WEIGHT) as f64;
    let steps = (-STEPS_PER_DOUBLING * latency.log2())
        .round()
        .clamp(-max_steps_down, max_steps_up);
    WEIGHTS[(USUAL_WEIGHT as f64 + steps) as usize]
}
