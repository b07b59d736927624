//! Ejects servers on the reports of several proxies, and limits how many servers are ejected.
//!
//! The view of one proxy may be wrong: its own link is cut, its clock stands still, or it reports falsely. A server is
//! therefore ejected for all proxies only by a quorum of those that have sent it requests recently. A zone whose servers
//! are all unreachable at once is taken for partitioned rather than failed, and its servers are not ejected for being
//! unreachable. A cap on the ejected servers of a cell keeps the others from being overloaded. A server that is ejected
//! again and again stays ejected for longer each time.

use crate::ProxyName;
use broker_types::server::NodeId;
use broker_types::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The figures of ejection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EjectionRule {
    /// Smallest number of votes that eject a server. If fewer proxies are connected, all of them have to vote.
    pub min_votes: usize,
    /// Smallest share of the reporting proxies whose votes eject a server.
    pub min_vote_share: f64,
    /// Share of failed requests from which a report is a vote to eject.
    pub min_failure_share: f64,
    /// Number of requests from which a report can be a vote to eject.
    pub min_requests: u64,
    /// Age at which a report is dropped.
    pub report_lifetime: Duration,
    /// Duration of the first ejection; each further one lasts twice as long as the one before.
    pub first_duration: Duration,
    /// Longest duration of an ejection.
    pub max_duration: Duration,
    /// Time after the end of an ejection after which the next one counts as the first again.
    pub forget_after: Duration,
    /// Largest share of a cell's servers that are ejected at the same time.
    pub max_ejected_share: f64,
    /// Share of unreachable servers from which a zone is taken for partitioned.
    pub partition_share: f64,
}

/// What a proxy reports of one server over its last interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerReport {
    /// Requests that succeeded.
    pub succeeded: u64,
    /// Requests that the server answered with a failure.
    pub failed: u64,
    /// Requests that ended without an answer.
    pub unanswered: u64,
}

impl ServerReport {
    fn requests(&self) -> u64 {
        self.succeeded + self.failed + self.unanswered
    }

    fn is_vote_to_eject(&self, rule: &EjectionRule) -> bool {
        let failures = (self.failed + self.unanswered) as f64;
        self.requests() >= rule.min_requests
            && failures >= rule.min_failure_share * self.requests() as f64
    }

    /// Whether the server has answered nothing at all.
    fn is_unreachable(&self) -> bool {
        self.succeeded == 0 && self.failed == 0 && self.unanswered > 0
    }
}

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

/// Why a quorum votes to eject a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum QuorumReason {
    /// Some of the voters had answers from the server.
    Failing,
    /// None of the voters had an answer from the server.
    Unreachable,
}

#[derive(Clone, Copy, Debug)]
struct ReceivedReport {
    received_at: Timestamp,
    report: ServerReport,
}

/// An ejection that has ended or will end.
#[derive(Clone, Copy, Debug)]
struct Ejection {
    duration: Duration,
    ends_at: Timestamp,
}

#[derive(Clone, Debug, Default)]
struct ServerRecord {
    /// The last report of each proxy.
    reports: BTreeMap<ProxyName, ReceivedReport>,
    /// When the present ejection ends.
    ejected_until: Option<Timestamp>,
    last_ejection: Option<Ejection>,
}

impl ServerRecord {
    fn is_empty(&self) -> bool {
        self.reports.is_empty() && self.ejected_until.is_none() && self.last_ejection.is_none()
    }

    fn eject(&mut self, now: Timestamp, rule: &EjectionRule) {
        let duration = self.last_ejection.map_or(rule.first_duration, |last| {
            (2 * last.duration).min(rule.max_duration)
        });
        let ends_at = now + duration;
        self.last_ejection = Some(Ejection { duration, ends_at });
        self.ejected_until = Some(ends_at);
    }

    /// Ends the ejection if it has run out.
    fn readmit(&mut self, now: Timestamp, rule: &EjectionRule) {
        let Some(ends_at) = self.ejected_until.filter(|until| *until <= now) else {
            return;
        };
        let last = self.last_ejection;
        let duration = last.map_or(rule.first_duration, |last| last.duration);
        self.last_ejection = Some(Ejection { duration, ends_at });
        self.ejected_until = None;
        // Reports from before its return say nothing about the server now.
        self.reports.clear();
    }
}

/// The reports of proxies and the ejections that follow from them. Its size is bounded by the number of proxies times
/// the number of servers with recent reports.
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

    /// Takes a proxy's report of a server in place of its last one. A report without requests is ignored.
    pub fn on_report(
        &mut self,
        now: Timestamp,
        proxy: &ProxyName,
        server: &NodeId,
        report: ServerReport,
    ) {
        if report.requests() > 0 {
            let record = self.records.entry(server.clone()).or_default();
            let received_at = now;
            let received = ReceivedReport {
                received_at,
                report,
            };
            record.reports.insert(proxy.clone(), received);
        }
    }

    /// Decides about all servers of the list and returns when the ejection of each ejected one ends. The number of
    /// proxies counts those that are connected to any control instance.
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
        let rule = self.rule;
        for record in self.records.values_mut() {
            record.reports.retain(|_, report| {
                now.saturating_since(report.received_at) < rule.report_lifetime
            });
            record.last_ejection = record
                .last_ejection
                .filter(|last| now < last.ends_at + rule.forget_after);
        }
        self.records.retain(|_, record| !record.is_empty());
    }

    /// Whether a server that is not ejected has the votes of a quorum, for a reason other than a partition.
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
        match record.and_then(|record| self.quorum_reason(record, connected_proxies)) {
            None => false,
            Some(QuorumReason::Failing) => true,
            Some(QuorumReason::Unreachable) => location
                .zone
                .is_none_or(|zone| !partitioned_zones.contains(&zone)),
        }
    }

    /// Why a quorum votes to eject the server; `None` without a quorum.
    fn quorum_reason(
        &self,
        record: &ServerRecord,
        connected_proxies: usize,
    ) -> Option<QuorumReason> {
        let votes: Vec<&ServerReport> = record
            .reports
            .values()
            .map(|received| &received.report)
            .filter(|report| report.is_vote_to_eject(&self.rule))
            .collect();
        let reporting = record.reports.len() as f64;
        let share = (self.rule.min_vote_share * reporting).ceil().max(1.0) as usize;
        // One proxy alone proves nothing where others exist, even if none of them sends to this server. Where it is the
        // only one, there is no other view.
        let needed = share.max(self.rule.min_votes.min(connected_proxies));
        if votes.is_empty() || votes.len() < needed {
            return None;
        }
        if votes.iter().all(|report| report.is_unreachable()) {
            Some(QuorumReason::Unreachable)
        } else {
            Some(QuorumReason::Failing)
        }
    }

    fn allows_another_ejection(&self, cell: CellCount) -> bool {
        (cell.ejected + 1) as f64 <= self.rule.max_ejected_share * cell.servers as f64
    }

    fn is_ejected(&self, server: &NodeId) -> bool {
        let record = self.records.get(server);
        record.is_some_and(|record| record.ejected_until.is_some())
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
            if record.reports.is_empty() {
                continue;
            }
            let reason = self.quorum_reason(record, connected_proxies);
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
            Some((location.server.clone(), record.ejected_until?))
        };
        locations.iter().filter_map(ejection).collect()
    }
}
