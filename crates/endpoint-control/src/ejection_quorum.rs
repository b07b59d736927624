//! Ejects servers on the reports of several proxies, and limits how many servers are ejected.
//!
//! The view of one proxy may be wrong: its own link is cut, its clock stands still, or it reports
//! falsely. A server is therefore ejected for all proxies only by a quorum of those that have sent
//! it requests recently. A zone whose servers are all unreachable at once is taken for partitioned
//! rather than failed, and its servers are not ejected for being unreachable. A cap on the ejected
//! servers of a cell keeps the others from being overloaded. A server that is ejected again and
//! again stays ejected for longer each time.

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

/// The cell and the zone of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServerLocation {
    /// The server.
    pub server: NodeId,
    /// Index of its cell.
    pub cell: usize,
    /// Index of its zone.
    pub zone: Option<usize>,
}

/// The reports of proxies and the ejections that follow from them. Its size is bounded by the
/// number of proxies times the number of servers with recent reports.
#[derive(Clone, Debug)]
pub struct EjectionQuorum {
    rule: EjectionRule,
    records: BTreeMap<NodeId, ServerRecord>,
}

#[derive(Clone, Copy, Debug, Default)]
struct CellCount {
    servers: usize,
    ejected: usize,
}

#[derive(Clone, Copy, Debug, Default)]
struct ZoneCount {
    /// Servers with reports.
    reported: usize,
    unreachable: usize,
}

impl EjectionQuorum {
    /// A quorum without reports.
    #[must_use]
    pub fn new(rule: EjectionRule) -> Self {
        EjectionQuorum {
            rule,
            records: BTreeMap::new(),
        }
    }

    /// Takes a proxy's report of a server in place of its last one. A report without requests is
    /// ignored.
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

    /// Decides about all servers of the list and returns when the ejection of each ejected one
    /// ends. The number of proxies counts those that are connected to any control instance.
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

    fn drop_outdated(&mut self, now: Timestamp) {
        for record in self.records.values_mut() {
            record.drop_outdated(now, &self.rule);
        }
        self.records.retain(|_, record| !record.is_empty());
    }

    /// Whether a server that is not ejected has the votes of a quorum, for a reason other than a
    /// partition.
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

    fn allows_another_ejection(&self, cell: CellCount) -> bool {
        (cell.ejected + 1) as f64 <= self.rule.max_ejected_share * cell.servers as f64
    }

    fn is_ejected(&self, server: &NodeId) -> bool {
        let record = self.records.get(server);
        record.is_some_and(ServerRecord::is_ejected)
    }

    fn count_cells(&self, locations: &[ServerLocation]) -> BTreeMap<usize, CellCount> {
        let mut cells: BTreeMap<usize, CellCount> = BTreeMap::new();
        for location in locations {
            let cell = cells.entry(location.cell).or_default();
            cell.servers += 1;
            cell.ejected += usize::from(self.is_ejected(&location.server));
        }
        cells
    }

    /// The zones with so many unreachable servers that the zone itself must be unreachable.
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

    fn ejections(&self, locations: &[ServerLocation]) -> BTreeMap<NodeId, Timestamp> {
        let ejection = |location: &ServerLocation| {
            let record = self.records.get(&location.server)?;
            Some((location.server.clone(), record.ejected_until()?))
        };
        locations.iter().filter_map(ejection).collect()
    }
}
