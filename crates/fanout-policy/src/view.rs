//! Read access to what an aggregator has learned, and input of outcomes that others observed.
//!
//! Nothing here decides anything: load reports update the same statistics as the aggregator's
//! own attempts.

use crate::aggregator::Aggregator;
use crate::api::{ClassIndex, Ms, NodeId, Outcome, ServingState};
use crate::policy::fanout_width::FanoutWidthController;
use crate::state::{ClassState, InFlightAttempt, Server, ServerIndex};

/// Largest number of attempts that one report counts as. Outlier detection works on shares and
/// on consecutive failures, so that more samples add nothing and would outweigh the reports of
/// others.
const MAX_SAMPLES: u64 = 8;

/// Lower bound of the fleet's latency per work as a divisor.
const MIN_LATENCY_PER_WORK: f64 = 1e-9;

/// One server as the aggregator sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerView {
    /// The server.
    pub node: NodeId,
    /// Its cell.
    pub cell: usize,
    /// Its zone.
    pub zone: Option<usize>,
    /// Its state in the endpoint list.
    pub state: ServingState,
    /// When its ejection ends, if it is ejected.
    pub ejected_until: Option<Ms>,
    /// When it started, if it may still be warming up.
    pub warming_since: Option<Ms>,
    /// Latency per outstanding work in multiples of the fleet's.
    pub relative_latency: f64,
    /// Share of failed attempts, smoothed.
    pub error_rate: f64,
}

/// What others observed at a server over some time.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// The server.
    pub node: NodeId,
    /// Attempts that were served.
    pub served: u64,
    /// Attempts that ended in an error.
    pub errors: u64,
    /// Attempts that could not connect or lost their connection.
    pub connection_failures: u64,
    /// Mean time of the attempts that were served, if it is known.
    pub mean_latency: Option<Ms>,
}

/// One class as the aggregator sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassView {
    /// Replica rows that its queries contact.
    pub fanout_rows: f64,
    /// Estimated cost of one part.
    pub part_cost: Ms,
    /// How much longer than forecast its queries take, smoothed.
    pub forecast_error: Ms,
}

impl Aggregator {
    /// All classes, in order of their indexes.
    #[must_use]
    pub fn class_views(&self) -> Vec<ClassView> {
        let view = |(class, width): (&ClassState, &FanoutWidthController)| ClassView {
            fanout_rows: width.rows(),
            part_cost: class.part_cost,
            forecast_error: class.forecast_error,
        };
        let classes = self.classes.iter().zip(&self.fanout_widths);
        classes.map(view).collect()
    }

    /// Median latency per outstanding work over the fleet.
    #[must_use]
    pub fn fleet_latency_per_work(&self) -> f64 {
        self.fleet_latency_per_work
    }

    /// All servers that serve or drain, in order of their names.
    #[must_use]
    pub fn server_views(&self, now: Ms) -> Vec<ServerView> {
        let servers = self
            .fleet
            .by_name
            .values()
            .map(|index| &self.fleet.servers[*index]);
        let listed = servers.filter(|server| server.state != ServingState::Removed);
        listed.map(|server| self.server_view(server, now)).collect()
    }

    fn server_view(&self, server: &Server, now: Ms) -> ServerView {
        let warm_up = self.settings.warm_up.duration;
        let fleet_latency = self.fleet_latency_per_work.max(MIN_LATENCY_PER_WORK);
        ServerView {
            node: server.node.clone(),
            cell: server.cell,
            zone: server.zone,
            state: server.state,
            ejected_until: (server.ejected_until > now).then_some(server.ejected_until),
            warming_since: server.warming_since.filter(|since| since + warm_up > now),
            relative_latency: server.latency_per_work / fleet_latency,
            error_rate: server.error_rate,
        }
    }

    /// Takes over what others observed since their last reports. Each report counts as a
    /// few attempts in the same proportion, failures first, so that the answers beside them
    /// show that the server is up.
    pub fn apply_load_reports(&mut self, now: Ms, class: ClassIndex, reports: &[LoadReport]) {
        let Some(state) = self.classes.get(class.0) else {
            return;
        };
        let work = state.part_cost.max(1.0);
        self.now = now;
        for report in reports {
            if let Some(&server) = self.fleet.by_name.get(&report.node) {
                self.apply_load_report(server, class, work, report);
            }
        }
    }

    fn apply_load_report(
        &mut self,
        server: ServerIndex,
        class: ClassIndex,
        work: Ms,
        report: &LoadReport,
    ) {
        let expected_latency = work * self.fleet_latency_per_work;
        let elapsed = report.mean_latency.unwrap_or(expected_latency);
        let attempt = InFlightAttempt {
            server,
            class: class.0,
            work: 0.0,
            work_ahead: work,
            sent_at: self.now - elapsed.min(expected_latency),
            expected_latency,
        };
        let total = report.served + report.errors + report.connection_failures;
        let outcomes = [
            (Outcome::ConnectionLost, report.connection_failures),
            (Outcome::Error, report.errors),
            (Outcome::Served, report.served),
        ];
        for (outcome, attempts) in outcomes {
            for _ in 0..sample_count(attempts, total) {
                self.on_outcome(&attempt, outcome, elapsed);
            }
        }
    }
}

/// Number of samples that stand for these attempts out of a report's total.
fn sample_count(attempts: u64, total: u64) -> u64 {
    if total <= MAX_SAMPLES {
        attempts
    } else {
        (attempts * MAX_SAMPLES).div_ceil(total)
    }
}
