//! Leases on the requests in flight at a server that is warming up.
//!
//! A lease allows one proxy (the holder) a number of requests in flight at one server. The number
//! is called the units of the lease. The control instance sends the lease in a message on the
//! proxy's stream, and the proxy acknowledges the message on the same stream. The message assigns
//! the server to the proxy as a cluster of its own, and limits the proxy's requests in flight in
//! this cluster to the units. The limit has a time to live, so that a disconnected proxy stops
//! sending without being told to.
//!
//! The units of a lease stay reserved until the holder can no longer use them. They must not be
//! freed as soon as the time to live has passed since the message was sent: the proxy counts the
//! time to live from the moment at which it *reads* the message, and the message may wait in the
//! proxy's socket while the proxy is paused. The lease therefore ends as follows:
//!
//! - while the message is not acknowledged and the stream is open, the lease does not end;
//! - once the message is acknowledged, the lease ends after the time to live, counted from the
//!   acknowledgement. The proxy read the message earlier, so its own count ends earlier;
//! - if the stream ends without an acknowledgement, the lease ends after the maximum pause of a
//!   proxy plus the time to live, because the proxy may still read the message after its pause.
//!
//! In each case the units stay reserved for the maximum duration of a request after the end of the
//! lease, because the holder may have sent requests until then.
//!
//! The reserved units of a server never exceed its limit, in whatever order leases are granted,
//! messages are late or lost, and proxies disappear. `tests/lease_model` checks this for all orders
//! of events in a small model.

use crate::ProxyName;
use crate::slow_start::SlowStartRule;
use broker_types::server::NodeId;
use broker_types::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// The durations that determine how long the units of a lease stay reserved.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTimes {
    /// Time for which a proxy uses a lease, counted from when it reads the message that grants or
    /// renews the lease.
    pub time_to_live: Duration,
    /// Maximum time for which a request is in flight at a server.
    pub max_request_duration: Duration,
    /// Maximum time for which a proxy is paused before it reads a message that was sent to it.
    pub max_pause: Duration,
}

/// A request for a lease.
#[derive(Clone, Copy, Debug)]
pub struct LeaseRequest<'a> {
    /// The server.
    pub server: &'a NodeId,
    /// The proxy that will hold the lease.
    pub holder: &'a ProxyName,
    /// Number of units that the holder should have in total, including those of a lease that it
    /// already holds.
    pub wanted_units: u32,
    /// Maximum number of units at the server that this control instance may have granted to all
    /// holders together.
    pub server_limit: u32,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum LeaseState {
    /// The last message about the lease is not acknowledged, and its stream has not ended.
    Unacknowledged,
    /// The holder stops using the lease at `until` at the latest.
    Active { until: Timestamp },
    /// The holder no longer uses the lease, and its last requests have ended by `until`.
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

/// All leases whose units are reserved, by server and holder. Each lease has at least one unit, so
/// the number of leases at a server is at most the server's limit.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct LeaseTable {
    times: LeaseTimes,
    by_server: BTreeMap<NodeId, BTreeMap<ProxyName, Lease>>,
}

impl LeaseTable {
    /// Creates a table without leases.
    #[must_use]
    pub fn new(times: LeaseTimes) -> Self {
        LeaseTable {
            times,
            by_server: BTreeMap::new(),
        }
    }

    /// Grants a lease, or renews the lease that the holder already has. A new lease has the wanted
    /// units, or the free units if these are fewer. A renewed lease keeps its units, and free units
    /// are added up to the wanted number. A draining lease is not renewed. Returns the number of
    /// units that the holder may use from now on, which may be 0.
    ///
    /// If the number is not 0, the caller has to send a message with the lease to the holder, and
    /// later call [`LeaseTable::on_acknowledged`] or [`LeaseTable::on_stream_ended`]. Until then,
    /// the lease does not expire.
    pub fn grant(&mut self, now: Timestamp, request: LeaseRequest<'_>) -> u32 {
        self.expire(now);
        let reserved = self.reserved_units(request.server);
        let free = request.server_limit.saturating_sub(reserved);
        let leases = self.by_server.entry(request.server.clone()).or_default();
        match leases.get_mut(request.holder) {
            Some(lease) if lease.is_draining() => 0,
            Some(lease) => {
                // A renewal never reduces the units: until the holder has read the new message, it
                // uses the units that the previous message granted, so the difference could not be
                // granted to other proxies.
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

    /// Records that the holder has acknowledged the last message about its leases. The leases end
    /// after the time to live.
    pub fn on_acknowledged(&mut self, now: Timestamp, holder: &ProxyName) {
        self.end_unacknowledged_at(now + self.times.time_to_live, holder);
    }

    /// Records that the stream of the holder has ended. The holder may still read messages that it
    /// has not acknowledged, so those leases end after the maximum pause plus the time to live.
    pub fn on_stream_ended(&mut self, now: Timestamp, holder: &ProxyName) {
        let until = now + self.times.max_pause + self.times.time_to_live;
        self.end_unacknowledged_at(until, holder);
    }

    /// Sets the end of the holder's leases whose last message is not acknowledged.
    fn end_unacknowledged_at(&mut self, until: Timestamp, holder: &ProxyName) {
        for leases in self.by_server.values_mut() {
            if let Some(lease) = leases.get_mut(holder)
                && lease.state == LeaseState::Unacknowledged
            {
                lease.state = LeaseState::Active { until };
            }
        }
    }

    /// Records that the proxy has acknowledged that it holds no lease on the server. The units stay
    /// reserved until the requests that it may have in flight have ended.
    pub fn on_released(&mut self, now: Timestamp, server: &NodeId, holder: &ProxyName) {
        let until = now + self.times.max_request_duration;
        let leases = self.by_server.get_mut(server);
        if let Some(lease) = leases.and_then(|leases| leases.get_mut(holder))
            && !lease.is_draining()
        {
            lease.state = LeaseState::Draining { until };
        }
    }

    /// Removes the leases on a server that no longer needs them, because it has warmed up or is no
    /// longer in the endpoint list.
    pub fn remove_server(&mut self, server: &NodeId) {
        self.by_server.remove(server);
    }

    /// Returns the number of units that the proxy holds at the server, without those of a draining
    /// lease.
    #[must_use]
    pub fn held_units(&self, server: &NodeId, holder: &ProxyName) -> u32 {
        let leases = self.by_server.get(server);
        leases
            .and_then(|leases| leases.get(holder))
            .filter(|lease| !lease.is_draining())
            .map_or(0, |lease| lease.units)
    }

    /// Returns the number of units that are reserved at the server for all leases, held and
    /// draining.
    #[must_use]
    pub fn reserved_units(&self, server: &NodeId) -> u32 {
        let leases = self.by_server.get(server);
        leases.map_or(0, |leases| leases.values().map(|lease| lease.units).sum())
    }

    /// Marks the leases that have ended by `now` as draining, and removes the draining leases whose
    /// last requests have ended.
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

/// Returns the number of units that each of `proxies` proxies requests at a server of the age
/// `age`: an equal share of the server's limit, rounded up, and at least 1.
pub(crate) fn equal_share_units(rule: &SlowStartRule, age: Duration, proxies: usize) -> u32 {
    let limit = rule.max_in_flight(age);
    limit.div_ceil(proxies.max(1) as u32).max(1)
}
