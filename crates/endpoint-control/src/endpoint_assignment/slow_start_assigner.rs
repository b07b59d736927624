//! Assigns the servers that are warming up to the proxies that hold leases on them.

use crate::leases::{LeaseRequest, LeaseTable, equal_share_units};
use crate::slow_start::{ControlInstance, SlowStartRule};
use crate::{ProxyName, ServerView};
use broker_types::server::{NodeId, ServingState};
use broker_types::time::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A server that is warming up, in the form in which the holder of a lease on it receives it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct SlowStartEndpoint {
    /// Name of the server.
    pub name: NodeId,
    /// Index of its cell.
    pub cell: usize,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Maximum number of requests that this proxy may have in flight at the server.
    pub max_in_flight: u32,
}

/// Assigns the servers that are warming up to the proxies that are connected to one control
/// instance.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartAssigner<'a> {
    /// All servers.
    pub views: &'a [ServerView],
    /// The proxies that are connected to this control instance.
    pub proxies: &'a [ProxyName],
    /// The rule that limits the requests in flight at a server that is warming up.
    pub rule: &'a SlowStartRule,
    /// The control instance, which determines the share of each server's limit that it may grant.
    pub instance: ControlInstance,
}

impl SlowStartAssigner<'_> {
    /// Grants and renews leases on the servers that are warming up, and returns the endpoints that
    /// each proxy receives. The leases are renewed only by calling this again, which has to happen
    /// well within their time to live.
    ///
    /// The proxies that hold a lease on a server are served first, so that they keep it. The other
    /// proxies follow in order, beginning at a proxy that depends on the server's name, so that the
    /// units of different servers go to different proxies if there are too few for all.
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
            for holder in proxies_in_grant_order(&view.name, self.proxies, leases) {
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

    /// Returns the request of a proxy for a lease on a server that is warming up. The proxy wants
    /// an equal share of the server's whole limit; the lease table grants no more units than remain
    /// of this control instance's share of the limit.
    fn lease_request<'a>(
        &self,
        now: Timestamp,
        view: &'a ServerView,
        holder: &'a ProxyName,
    ) -> LeaseRequest<'a> {
        // Each server that is warming up has a start time. The fallback is an age of zero, for
        // which the limit is lowest.
        let age = now.saturating_since(view.started_at.unwrap_or(now));
        let limit = self.rule.max_in_flight(age);
        LeaseRequest {
            server: &view.name,
            holder,
            wanted_units: equal_share_units(self.rule, age, self.proxies.len()),
            server_limit: self.instance.share_of_limit(limit, &view.name.0),
        }
    }
}

/// Returns the proxies in the order in which they are granted leases on a server: those that hold a
/// lease on it first.
fn proxies_in_grant_order<'a>(
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

/// Returns a number that differs between most servers: a polynomial hash of the server's name.
fn rotation_offset(server: &NodeId) -> usize {
    server.0.bytes().fold(0usize, |hash, byte| {
        hash.wrapping_mul(31).wrapping_add(byte.into())
    })
}
