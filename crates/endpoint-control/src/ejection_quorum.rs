//! Ejects servers on the reports of several proxies, and limits how many servers are ejected.
//!
//! The reports of one proxy may be wrong: its own network link may be down, its clock may have
//! stopped, or it may send false reports. A server is therefore ejected for all proxies only if a
//! quorum reports failures. The size of the quorum depends on how many proxies have recently sent
//! the server requests and reported on them, and on how many proxies are connected.
//!
//! - If all or a large share of a zone's servers are unreachable at the same time, the zone is
//!   assumed to be partitioned from the proxies rather than failed. Its servers are then not
//!   ejected for being unreachable.
//! - The share of a cell's servers that are ejected at the same time is limited, because the
//!   remaining servers of the cell take over the traffic and would be overloaded.
//! - Each further ejection of a server lasts longer than the previous one.

mod record;
mod report;
mod rule;

pub use report::ServerReport;
pub use rule::EjectionRule;

use crate::ProxyName;
use broker_types::server::NodeId;
use broker_types::time::Timestamp;
use record::{QuorumReason, ServerRecord};
use std::collections::{BTreeMap, BTreeSet};

/// A server with its cell and its zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerLocation {
    /// Name of the server.
    pub server: NodeId,
    /// Index of its cell.
    pub cell: usize,
    /// Index of its zone, if it has one. A server without a zone never counts as part of a
    /// partition.
    pub zone: Option<usize>,
}

/// The reports of proxies and the ejections that follow from them. It holds at most one report for
/// each pair of a proxy and a server.
#[derive(Clone, Debug)]
pub struct EjectionQuorum {
    rule: EjectionRule,
    records: BTreeMap<NodeId, ServerRecord>,
}

/// The number of servers in a cell, and how many of them are ejected.
#[derive(Clone, Copy, Debug, Default)]
struct CellCount {
    servers: usize,
    ejected: usize,
}

/// Counts of those servers of a zone about which proxies have sent reports.
#[derive(Clone, Copy, Debug, Default)]
struct ZoneCount {
    /// Number of servers with at least one report.
    reported: usize,
    /// Number of servers that a quorum of proxies cannot reach.
    unreachable: usize,
}

impl EjectionQuorum {
    /// Creates a quorum without reports.
    #[must_use]
    pub fn new(rule: EjectionRule) -> Self {
        EjectionQuorum {
            rule,
            records: BTreeMap::new(),
        }
    }

    /// Stores a proxy's report about a server. It replaces the proxy's previous report about that
    /// server. A report without requests is ignored.
    pub fn on_report(
        &mut self,
        now: Timestamp,
        proxy: &ProxyName,
        server: &NodeId,
        report: ServerReport,
    ) {
        if report.requests() > 0 {
            let record = self.records.entry(server.clone()).or_default();
            record.on_report(now, proxy, report);
        }
    }

    /// Ends ejections whose duration has passed. Then ejects the servers in `locations` that have
    /// the votes of a quorum, as far as the limit of their cell allows. Returns all servers in
    /// `locations` that are now ejected, with the end of each ejection. `connected_proxies` is the
    /// number of proxies that are connected to any control instance.
    pub fn evaluate(
        &mut self,
        now: Timestamp,
        locations: &[ServerLocation],
        connected_proxies: usize,
    ) -> BTreeMap<NodeId, Timestamp> {
        self.drop_outdated(now);
        for record in self.records.values_mut() {
            record.readmit(now, &self.rule);
        }
        let partitioned_zones = self.partitioned_zones(locations, connected_proxies);
        let mut cells = self.count_cells(locations);
        for location in locations {
            let cell = cells.entry(location.cell).or_default();
            if self.has_votes_to_eject(location, connected_proxies, &partitioned_zones)
                && self.allows_another_ejection(*cell)
                && let Some(record) = self.records.get_mut(&location.server)
            {
                record.eject(now, &self.rule);
                cell.ejected += 1;
            }
        }
        self.ejections(locations)
    }

    /// Drops reports that have reached their lifetime and past ejections that are old enough to be
    /// forgotten. Removes the records that then hold neither a report nor an ejection.
    fn drop_outdated(&mut self, now: Timestamp) {
        for record in self.records.values_mut() {
            record.drop_outdated(now, &self.rule);
        }
        self.records.retain(|_, record| !record.is_empty());
    }

    /// Returns whether a server is not ejected yet and has the votes of a quorum. If all votes are
    /// cast because the server is unreachable, they do not count while its zone is partitioned.
    fn has_votes_to_eject(
        &self,
        location: &ServerLocation,
        connected_proxies: usize,
        partitioned_zones: &BTreeSet<usize>,
    ) -> bool {
        if self.is_ejected(&location.server) {
            return false;
        }
        let record = self.records.get(&location.server);
        match record.and_then(|record| record.quorum_reason(connected_proxies, &self.rule)) {
            None => false,
            Some(QuorumReason::Failing) => true,
            Some(QuorumReason::Unreachable) => location
                .zone
                .is_none_or(|zone| !partitioned_zones.contains(&zone)),
        }
    }

    /// Returns whether the limit of the cell allows one more of its servers to be ejected.
    fn allows_another_ejection(&self, cell: CellCount) -> bool {
        (cell.ejected + 1) as f64 <= self.rule.max_ejected_share * cell.servers as f64
    }

    fn is_ejected(&self, server: &NodeId) -> bool {
        let record = self.records.get(server);
        record.is_some_and(ServerRecord::is_ejected)
    }

    /// Counts the servers and the ejected servers of each cell.
    fn count_cells(&self, locations: &[ServerLocation]) -> BTreeMap<usize, CellCount> {
        let mut cells: BTreeMap<usize, CellCount> = BTreeMap::new();
        for location in locations {
            let cell = cells.entry(location.cell).or_default();
            cell.servers += 1;
            cell.ejected += usize::from(self.is_ejected(&location.server));
        }
        cells
    }

    /// Returns the zones that are assumed to be partitioned. In such a zone, the unreachable servers
    /// make up at least [`EjectionRule::partition_share`] of the servers with reports. A zone with
    /// only one server with reports is never assumed to be partitioned, because a failure of that
    /// server would look the same.
    fn partitioned_zones(
        &self,
        locations: &[ServerLocation],
        connected_proxies: usize,
    ) -> BTreeSet<usize> {
        let mut zones: BTreeMap<usize, ZoneCount> = BTreeMap::new();
        for location in locations {
            let record = self.records.get(&location.server);
            let (Some(zone), Some(record)) = (location.zone, record) else {
                continue;
            };
            if !record.has_reports() {
                continue;
            }
            let reason = record.quorum_reason(connected_proxies, &self.rule);
            let count = zones.entry(zone).or_default();
            count.reported += 1;
            count.unreachable += usize::from(reason == Some(QuorumReason::Unreachable));
        }
        zones.retain(|_, count| {
            count.reported > 1
                && count.unreachable as f64 >= self.rule.partition_share * count.reported as f64
        });
        zones.into_keys().collect()
    }

    /// Returns the ejected servers among `locations`, with the end of each ejection.
    fn ejections(&self, locations: &[ServerLocation]) -> BTreeMap<NodeId, Timestamp> {
        let ejection = |location: &ServerLocation| {
            let record = self.records.get(&location.server)?;
            Some((location.server.clone(), record.ejected_until()?))
        };
        locations.iter().filter_map(ejection).collect()
    }
}
