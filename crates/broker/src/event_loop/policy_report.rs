//! A log event about the policy's state at regular intervals. [`PolicyReporter`] owns the time of
//! the next report.

use broker_types::time::Timestamp;
use policy_engine::PolicyEngine;
use std::time::Duration;
use tracing::info;

/// Time between two reports. It is long enough to keep the log of several weeks small.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Logs the policy's state at regular intervals.
pub(super) struct PolicyReporter {
    /// Earliest time of the next report.
    next_report: Timestamp,
}

impl PolicyReporter {
    /// Creates a reporter whose first report is due immediately.
    pub(super) fn new() -> Self {
        PolicyReporter {
            next_report: Timestamp::ORIGIN,
        }
    }

    /// Logs the policy's state if the interval since the last report has passed. An operator needs
    /// this event, because no other event explains why queries are rejected on arrival.
    pub(super) fn report_if_due(
        &mut self,
        now: Timestamp,
        policy: &PolicyEngine,
        server_connections: usize,
    ) {
        if now < self.next_report {
            return;
        }
        self.next_report = now + REPORT_INTERVAL;
        let summary = policy.summary(now);
        info!(
            name: "policy_state_reported",
            in_flight = policy.in_flight(),
            server_connections,
            serving = summary.serving,
            ejected = summary.ejected,
            warming_up = summary.warming_up,
            latency_per_work = summary.latency_per_work,
            slow = summary.slow,
            touched_rows = %summary.touched_rows,
            part_cost_ms = %summary.part_cost_ms,
            forecast_error_ms = %summary.forecast_error_ms
        );
    }
}
