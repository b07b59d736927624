//! Leases on the requests in flight at a server that is warming up.
//!
//! A lease allows one proxy, its holder, a number of requests in flight (units) at one server. The
//! proxy receives it as a limit on the server's cluster with a time to live, so that a proxy that
//! is cut off stops by itself. The units of a lease stay reserved until its holder can no longer
//! use them. That is later than the time to live after the lease was sent, since the proxy counts
//! the time to live from when it *reads* the message, which may wait in its socket while the proxy
//! is paused:
//!
//! - a message that is not acknowledged keeps the lease without end;
//! - once it is acknowledged, the lease lasts for the time to live from then, as the proxy began to
//!   count before;
//! - if the stream ends without an acknowledgement, the lease lasts for the longest pause of a
//!   proxy and the time to live.
//!
//! In each case the requests that the holder sent last have to end too. The reserved units of a
//! server never exceed its limit, whatever the order of grants, late or lost messages, and proxies
//! that disappear: `tests/lease_model` checks all orders of a small case.

use crate::ProxyName;
use crate::slow_start::SlowStartRule;
use broker_types::server::NodeId;
use broker_types::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// Time limits of leases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTimes {
    /// How long a proxy uses a lease after it has read of it.
    pub time_to_live: Duration,
    /// The longest time that a request is in flight at a server.
    pub max_request_duration: Duration,
    /// The longest time that a proxy is paused before it reads what was sent to it.
    pub max_pause: Duration,
}

/// A request for a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseRequest<'a> {
    /// The server.
    pub server: &'a NodeId,
    /// The proxy that will hold the lease.
    pub holder: &'a ProxyName,
    /// Units that the holder is to have.
    pub wanted_units: u32,
    /// Units at the server that this control instance may grant to all holders together.
    pub server_limit: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum LeaseState {
    /// The last message about the lease is not acknowledged.
    Unacknowledged,
    /// The holder uses the lease until this moment at the latest.
    Active { until: Timestamp },
    /// The holder no longer uses the lease; its last requests have ended by this moment.
    Draining { until: Timestamp },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct Lease {
    units: u32,
    state: LeaseState,
}

impl Lease {
    fn is_draining(&self) -> bool {
        matches!(self.state, LeaseState::Draining { .. })
    }
}

/// All leases whose units are reserved, by server and holder. Its size is bounded by the limits of
/// the servers.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTable {
    times: LeaseTimes,
    by_server: BTreeMap<NodeId, BTreeMap<ProxyName, Lease>>,
}

impl LeaseTable {
    /// A table without leases.
    #[must_use]
    pub fn new(times: LeaseTimes) -> Self {
        LeaseTable {
            times,
            by_server: BTreeMap::new(),
        }
    }

    /// Grants a lease on the wanted units or on those that are free, or renews the holder's lease.
    /// Returns the units that the holder may use from now on, which may be none. If there are any,
    /// a message to the holder has to follow, and later [`LeaseTable::on_acknowledged`] or
    /// [`LeaseTable::on_stream_ended`].
    pub fn grant(&mut self, now: Timestamp, request: LeaseRequest<'_>) -> u32 {
        self.expire(now);
        let reserved = self.reserved_units(request.server);
        let free = request.server_limit.saturating_sub(reserved);
        let leases = self.by_server.entry(request.server.clone()).or_default();
        match leases.get_mut(request.holder) {
            Some(lease) if lease.is_draining() => 0,
            Some(lease) => {
                // A renewal never takes units back: a holder that has not read of it would use the
                // earlier number.
                let missing = request.wanted_units.saturating_sub(lease.units);
                lease.units += free.min(missing);
                lease.state = LeaseState::Unacknowledged;
                lease.units
            }
            None => {
                let units = free.min(request.wanted_units);
                if units > 0 {
                    let state = LeaseState::Unacknowledged;
                    leases.insert(request.holder.clone(), Lease { units, state });
                }
                units
            }
        }
    }

    /// The holder has acknowledged the last message about its leases.
    pub fn on_acknowledged(&mut self, now: Timestamp, holder: &ProxyName) {
        self.end_unacknowledged_at(now + self.times.time_to_live, holder);
    }

    /// The stream of the holder has ended. It may still read messages that it has not acknowledged.
    pub fn on_stream_ended(&mut self, now: Timestamp, holder: &ProxyName) {
        let until = now + self.times.max_pause + self.times.time_to_live;
        self.end_unacknowledged_at(until, holder);
    }

    fn end_unacknowledged_at(&mut self, until: Timestamp, holder: &ProxyName) {
        for leases in self.by_server.values_mut() {
            if let Some(lease) = leases.get_mut(holder)
                && lease.state == LeaseState::Unacknowledged
            {
                lease.state = LeaseState::Active { until };
            }
        }
    }

    /// The proxy has acknowledged that it holds no lease on the server.
    pub fn on_released(&mut self, now: Timestamp, server: &NodeId, holder: &ProxyName) {
        let until = now + self.times.max_request_duration;
        let leases = self.by_server.get_mut(server);
        if let Some(lease) = leases.and_then(|leases| leases.get_mut(holder))
            && !lease.is_draining()
        {
            lease.state = LeaseState::Draining { until };
        }
    }

    /// Removes the leases on a server that has warmed up or is gone, and no longer needs them.
    pub fn remove_server(&mut self, server: &NodeId) {
        self.by_server.remove(server);
    }

    /// Units that the proxy holds at the server.
    #[must_use]
    pub fn held_units(&self, server: &NodeId, holder: &ProxyName) -> u32 {
        let leases = self.by_server.get(server);
        leases
            .and_then(|leases| leases.get(holder))
            .filter(|lease| !lease.is_draining())
            .map_or(0, |lease| lease.units)
    }

    /// Units that are reserved at the server, for all leases that are held or draining.
    #[must_use]
    pub fn reserved_units(&self, server: &NodeId) -> u32 {
        let leases = self.by_server.get(server);
        leases.map_or(0, |leases| leases.values().map(|lease| lease.units).sum())
    }

    /// Moves leases that have run out by now to draining, and removes those that have drained.
    pub fn expire(&mut self, now: Timestamp) {
        let max_request_duration = self.times.max_request_duration;
        for leases in self.by_server.values_mut() {
            for lease in leases.values_mut() {
                if let LeaseState::Active { until } = lease.state
                    && until <= now
                {
                    lease.state = LeaseState::Draining {
                        until: until + max_request_duration,
                    };
                }
            }
            leases.retain(
                |_, lease| !matches!(lease.state, LeaseState::Draining { until } if until <= now),
            );
        }
        self.by_server.retain(|_, leases| !leases.is_empty());
    }
}

/// The units that each of so many proxies requests at a server of this age: an even share of its
/// limit, at least one.
pub(crate) fn fair_units(rule: &SlowStartRule, age: Duration, proxies: usize) -> u32 {
    let limit = rule.max_in_flight(age);
    limit.div_ceil(proxies.max(1) as u32).max(1)
}
