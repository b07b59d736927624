//! The clusters and endpoints that proxies receive.
//!
//! Each cell becomes a cluster: its servers hold the same shards, so each of them can answer
//! requests for these shards, and no server of another cell can. All proxies receive the same
//! clusters of cells.
//!
//! An endpoint includes the server's row, which is its position among the servers of its cell in
//! the order of their names. A proxy that can route by row sends all parts of a query to the same
//! row.
//!
//! A serving server that is warming up is not an endpoint of its cell's cluster. It is a cluster of
//! its own, which only the proxies that hold a lease on it receive. The units of the lease are the
//! proxy's limit of requests in flight at that server. A server that drains before it has warmed up
//! takes no new requests, so it needs no such limit. It is an endpoint of its cell's cluster, like
//! any other draining server.

mod slow_start_assigner;

pub use slow_start_assigner::{SlowStartAssigner, SlowStartEndpoint};

use crate::ServerView;
use crate::slow_start::SlowStartRule;
use broker_types::server::{NodeId, ServingState};
use broker_types::time::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The weights that an endpoint can have. Each is about 1.4 times the previous one. A weight
/// changes only in these steps, so that small changes of the latency do not change the assignment.
const WEIGHTS: [u32; 7] = [16, 23, 32, 45, 64, 91, 128];
/// Index in [`WEIGHTS`] of the weight at the usual latency.
const USUAL_WEIGHT_INDEX: usize = 4;
/// Number of steps in [`WEIGHTS`] by which the weight decreases for each doubling of the latency.
const STEPS_PER_DOUBLING: f64 = 2.0;

/// The health of an endpoint, which determines whether proxies send requests to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Health {
    /// The server takes requests.
    Healthy,
    /// The server finishes the requests that it has and takes no new ones.
    Draining,
    /// The server is ejected and takes no requests.
    Unhealthy,
}

/// A server in the form in which all proxies receive it. A serving server that is warming up is
/// assigned as a [`SlowStartEndpoint`] instead.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct AssignedEndpoint {
    /// Name of the server.
    pub name: NodeId,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Index of its zone, if it has one.
    pub zone: Option<usize>,
    /// Position of the server among the servers of its cell, in the order of their names.
    pub row: usize,
    /// Health of the endpoint.
    pub health: Health,
    /// Weight of the endpoint. The traffic of the cluster is divided among its endpoints in
    /// proportion to their weights.
    pub weight: u32,
}

/// The cluster of one cell.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct CellCluster {
    /// Index of the cell.
    pub cell: usize,
    /// The servers of the cell in the order of their names, without those that are removed or that
    /// are serving and warming up.
    pub endpoints: Vec<AssignedEndpoint>,
}

/// Returns the clusters that all proxies receive at `now`, one for each cell with a server that is
/// not removed. `ejected_until` holds the servers that a quorum of proxies has ejected, with the
/// end of each ejection.
///
/// If all serving, warmed-up servers of a cell are ejected, their ejections are ignored and they
/// are assigned as healthy: some of them may work, while a proxy without a healthy endpoint sends
/// no requests for the cell's shards at all.
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
    let builder = ClusterBuilder {
        now,
        ejected_until,
        rule,
    };
    views_by_cell
        .into_iter()
        .map(|(cell, views)| builder.cell_cluster(cell, views))
        .collect()
}

/// Builds the clusters of cells from the time, the ejections and the slow-start rule, which
/// determine the health of servers.
struct ClusterBuilder<'a> {
    now: Timestamp,
    ejected_until: &'a BTreeMap<NodeId, Timestamp>,
    rule: &'a SlowStartRule,
}

impl ClusterBuilder<'_> {
    /// Returns the cluster of a cell with these servers.
    fn cell_cluster(&self, cell: usize, mut views: Vec<&ServerView>) -> CellCluster {
        views.sort_by(|a, b| a.name.cmp(&b.name));
        let all_ejected = views
            .iter()
            .filter(|view| self.is_serving_warmed_up(view))
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
                weight: weight_for_latency(view.relative_latency),
            });
        CellCluster {
            cell,
            endpoints: endpoints.collect(),
        }
    }

    /// Returns the health of a server. Only a serving server is reported as ejected.
    fn health(&self, view: &ServerView) -> Health {
        if view.state == ServingState::Serving && self.is_ejected(view) {
            Health::Unhealthy
        } else {
            health_without_ejections(view)
        }
    }

    /// Returns whether the server is serving and not warming up, so that it takes the traffic of
    /// its cell's cluster unless it is ejected.
    fn is_serving_warmed_up(&self, view: &ServerView) -> bool {
        view.state == ServingState::Serving && !view.is_warming_up(self.now, self.rule)
    }

    /// Returns whether the server is serving and warming up, so that only the holders of leases
    /// send it requests.
    fn is_slow_starting(&self, view: &ServerView) -> bool {
        view.state == ServingState::Serving && view.is_warming_up(self.now, self.rule)
    }

    /// Returns whether the server is ejected, by the policy or by a quorum of proxies.
    fn is_ejected(&self, view: &ServerView) -> bool {
        let by_policy = view.ejected_until;
        let by_quorum = self.ejected_until.get(&view.name).copied();
        [by_policy, by_quorum]
            .into_iter()
            .flatten()
            .any(|until| until > self.now)
    }
}

/// Returns the health of a server without regard to its ejection.
fn health_without_ejections(view: &ServerView) -> Health {
    match view.state {
        ServingState::Serving => Health::Healthy,
        _ => Health::Draining,
    }
}

/// Returns the weight of an endpoint with this latency. A latency that is not a positive, finite
/// number counts as the usual latency.
fn weight_for_latency(relative_latency: f64) -> u32 {
    let latency = if relative_latency.is_finite() && relative_latency > 0.0 {
        relative_latency
    } else {
        1.0
    };
    let max_steps_down = USUAL_WEIGHT_INDEX as f64;
    let max_steps_up = (WEIGHTS.len() - 1 - USUAL_WEIGHT_INDEX) as f64;
    let steps = (-STEPS_PER_DOUBLING * latency.log2())
        .round()
        .clamp(-max_steps_down, max_steps_up);
    WEIGHTS[(USUAL_WEIGHT_INDEX as f64 + steps) as usize]
}
