//! The endpoints of servers that are warming up, which only the holders of leases receive.

use crate::leases::{LeaseRequest, LeaseTable, fair_units};
use crate::slow_start::{ControlInstance, SlowStartRule};
use crate::{ProxyName, ServerView};
use broker_types::server::{NodeId, ServingState};
use broker_types::time::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;

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

/// The servers and the proxies of one control instance, between which it assigns the servers that
/// are warming up.
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
    /// Grants and renews leases on the servers that are warming up, and returns the endpoints that
    /// each proxy receives. It has to be called again well within the leases' time to live. Holders
    /// of a lease keep it; other proxies follow in rotation, which begins at another proxy for each
    /// server.
    pub fn assign_endpoints(
        &self,
        now: Timestamp,
        leases: &mut LeaseTable,
    ) -> BTreeMap<ProxyName, Vec<SlowStartEndpoint>> {
        let mut assigned: BTreeMap<ProxyName, Vec<SlowStartEndpoint>> = BTreeMap::new();
        for view in self.views {
            if view.state != ServingState::Serving || !view.is_warming_up(now, self.rule) {
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
