//! Read access to an aggregator's statistics, and input of outcomes that other observers counted.
//! An observer is any program other than this aggregator that counts the outcomes of attempts at
//! the same servers.
//!
//! This module makes no decisions. An outcome report updates the same statistics as the
//! aggregator's own attempts.

use super::{Aggregator, PolicyState};
use crate::api::{ClassIndex, Ms};
use crate::fleet::Server;
use crate::policy::batch_context::BatchContext;
use crate::policy::class_estimates::ClassEstimates;
use crate::policy::ended_attempt::AttemptEnd;
use crate::policy::fanout_width::FanoutWidthController;
use crate::policy::report_sampling::sampled_outcomes;
use crate::queries::InFlightAttempt;
use crate::view::{ClassView, OutcomeReport, ServerView};

/// Lower bound of the fleet's median latency per work where it is the divisor in the relative
/// latency of a server, in ms per ms of work. It prevents a division by zero.
const MIN_FLEET_LATENCY_DIVISOR: f64 = 1e-9;
/// Minimum work that is assumed for each attempt in an outcome report.
const MIN_REPORTED_WORK_MS: Ms = 1.0;

impl Aggregator {
    /// Returns the statistics of all classes, in order of their indexes.
    #[must_use]
    pub fn class_views(&self) -> Vec<ClassView> {
        let view = |(class, width): (&ClassEstimates, &FanoutWidthController)| ClassView {
            fanout_rows: width.rows(),
            part_cost: class.part_cost(),
            forecast_error: class.forecast_error(),
        };
        let PolicyState {
            classes,
            fanout_widths,
            ..
        } = &self.state;
        classes.iter().zip(fanout_widths).map(view).collect()
    }

    /// Returns the median over the fleet of the latency per ms of outstanding work.
    #[must_use]
    pub fn fleet_latency_per_work(&self) -> f64 {
        self.state.fleet.latency().per_work()
    }

    /// Returns the statistics of all servers that serve or drain, in order of their names.
    #[must_use]
    pub fn server_views(&self, now: Ms) -> Vec<ServerView> {
        let servers = self.state.fleet.listed();
        servers
            .map(|server| self.server_view(server, now))
            .collect()
    }

    fn server_view(&self, server: &Server, now: Ms) -> ServerView {
        let warm_up = self.settings.warm_up.duration;
        let fleet_latency = self.fleet_latency_per_work().max(MIN_FLEET_LATENCY_DIVISOR);
        let is_warming = |since: &Ms| since + warm_up > now;
        ServerView {
            node: server.node().clone(),
            cell: server.cell(),
            zone: server.zone(),
            state: server.state(),
            ejected_until: server.outliers().ejected_until(now),
            warming_since: server.slow_start().warming_since().filter(is_warming),
            relative_latency: server.latency().per_work() / fleet_latency,
            error_rate: server.health().error_rate(),
        }
    }

    /// Applies outcomes that other observers counted since their previous reports. Each report is
    /// replaced by a few sample attempts with about the same proportion of outcomes, which are
    /// recorded as attempts of `class`. Reports on unknown servers, and all reports for an unknown
    /// class, are ignored.
    pub fn apply_outcome_reports(&mut self, now: Ms, class: ClassIndex, reports: &[OutcomeReport]) {
        let Some(estimates) = self.state.classes.get(class.0) else {
            return;
        };
        let work = estimates.part_cost().max(MIN_REPORTED_WORK_MS);
        let fleet_latency = self.fleet_latency_per_work();
        for report in reports {
            let Some(server) = self.state.fleet.find(&report.node) else {
                continue;
            };
            let expected_latency = work * fleet_latency;
            let elapsed = report.mean_latency.unwrap_or(expected_latency);
            let attempt = InFlightAttempt {
                server,
                class: class.0,
                // The attempt was not sent by this aggregator, so its end must not reduce this
                // aggregator's outstanding work at the server.
                work: 0.0,
                // A report does not state how much work was outstanding at the server. The latency
                // of its attempts counts as if each had been the only work there.
                work_ahead: work,
                // A report states no send times. Its attempts count as sent one mean latency ago,
                // or one forecast latency ago if that is shorter.
                sent_at: now - elapsed.min(expected_latency),
                expected_latency,
            };
            self.apply_outcome_report(now, &attempt, report);
        }
    }

    /// Updates the statistics with each sample outcome of a report, as if an attempt with the data
    /// of `attempt` had ended with that outcome.
    fn apply_outcome_report(&mut self, now: Ms, attempt: &InFlightAttempt, report: &OutcomeReport) {
        let batch = BatchContext::new(now, &self.settings);
        let elapsed = report.mean_latency.unwrap_or(attempt.expected_latency);
        let timing = self.batch_timer.timing();
        for outcome in sampled_outcomes(report) {
            let end = AttemptEnd::new(outcome, elapsed, timing);
            self.state.record_attempt_end(&batch, attempt, end);
        }
    }
}
