//! The clusters and endpoints that proxies receive.
//!
//! A cell becomes a cluster: its servers hold the same shards, so each of them can answer, and no other server can. A
//! server's row, which is its position among the servers of its cell by name, is part of its endpoint, so that a proxy
//! that can route by it keeps the parts of a query to one row. All proxies receive the same clusters of warmed-up
//! servers. A server that is warming up is not an endpoint of its cell's cluster: it is a cluster of its own, which only
//! the holders of a lease on it receive, with their units as its limit of requests in flight.

use crate::leases::{LeaseRequest, LeaseTable, fair_units};
use crate::slow_start::{ControlInstance, SlowStartRule};
use crate::{ProxyName, ServerView};
use broker_types::server::{NodeId, ServingState};
use broker_types::time::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Weights of endpoints. Each is about 1.4 times the one before, so that small changes of the latency change none.
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

/// A server that is warming up, as the holder of a lease on it receives it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SlowStartEndpoint {
    /// Name of the server.
    pub name: NodeId,
    /// Index of its cell.
    pub cell: usize,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Largest number of requests that this proxy may have in flight at the server.
    pub max_in_flight: u32,
}

/// Whether the server is warming up at this moment.
fn is_warming_up(view: &ServerView, now: Timestamp, rule: &SlowStartRule) -> bool {
    view.started_at
        .is_some_and(|started_at| !rule.is_warmed_up(now.saturating_since(started_at)))
}

/// The clusters that all proxies receive at this moment. `ejected_until` holds the servers that a quorum of proxies has
/// ejected. If all servers of a cell that take requests are ejected, they are assigned as healthy: some of them may
/// work, and a proxy without any healthy endpoint sends nothing.
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
        view.state == ServingState::Serving && !is_warming_up(view, self.now, self.rule)
    }

    fn is_slow_starting(&self, view: &ServerView) -> bool {
        view.state == ServingState::Serving && is_warming_up(view, self.now, self.rule)
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

/// The weight of an endpoint of this latency. A latency that is not a positive number counts as the usual one.
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

/// The servers and the proxies of one control instance, between which it assigns the servers that are warming up.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartAssigner<'a> {
    /// All servers.
    pub views: &'a [ServerView],
    /// The proxies that are connected to this control instance.
    pub proxies: &'a [ProxyName],
    /// The rule that limits the requests in flight at each server.
    pub rule: &'a SlowStartRule,
    /// This control instance.
    pub instance: ControlInstance,
}

impl SlowStartAssigner<'_> {
    /// Grants and renews leases on the servers that are warming up, and returns the endpoints that each proxy receives.
    /// It has to be called again well within the leases' time to live. Holders of a lease keep it; other proxies follow
    /// in rotation, which begins at another proxy for each server.
    pub fn assign_endpoints(
        &self,
        now: Timestamp,
        leases: &mut LeaseTable,
    ) -> BTreeMap<ProxyName, Vec<SlowStartEndpoint>> {
        let mut assigned: BTreeMap<ProxyName, Vec<SlowStartEndpoint>> = BTreeMap::new();
        for view in self.views {
            if view.state != ServingState::Serving || !is_warming_up(view, now, self.rule) {
                continue;
            }
            for holder in in_grant_order(&view.name, self.proxies, leases) {
                let max_in_flight = leases.grant(now, self.lease_request(now, view, holder));
                if max_in_flight > 0 {
                    let endpoint = SlowStartEndpoint {
                        name: view.name.clone(),
                        cell: view.cell,
                        address: view.address,
                        max_in_flight,
                    };
                    assigned.entry(holder.clone()).or_default().push(endpoint);
                }
            }
        }
        assigned
    }

    /// The request for a lease on a server that is warming up.
    fn lease_request<'a>(
        &self,
        now: Timestamp,
        view: &'a ServerView,
        holder: &'a ProxyName,
    ) -> LeaseRequest<'a> {
        let age = now.saturating_since(view.started_at.unwrap_or(now));
        let limit = self.rule.max_in_flight(age);
        LeaseRequest {
            server: &view.name,
            holder,
            wanted_units: fair_units(self.rule, age, self.proxies.len()),
            server_limit: self.instance.share_of_limit(limit, &view.name.0),
        }
    }
}

/// The proxies in the order in which they are granted leases on a server: holders first.
fn in_grant_order<'a>(
    server: &NodeId,
    proxies: &'a [ProxyName],
    leases: &LeaseTable,
) -> Vec<&'a ProxyName> {
    let first = rotation_offset(server) % proxies.len().max(1);
    let (before_first, from_first) = proxies.split_at(first);
    let rotation = from_first.iter().chain(before_first);
    let (mut holders, others): (Vec<_>, Vec<_>) =
        rotation.partition(|proxy| leases.held_units(server, proxy) > 0);
    holders.extend(others);
    holders
}

/// A number that differs between servers: a polynomial hash of the name.
fn rotation_offset(server: &NodeId) -> usize {
    server.0.bytes().fold(0usize, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(byte.into())
    })
}
