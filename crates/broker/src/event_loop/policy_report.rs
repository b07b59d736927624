//! Regular reports on the policy's state in the log. [`PolicyReporter`] owns the time of the next
//! one.

use broker_types::time::Timestamp;
use policy_engine::PolicyEngine;
use std::time::Duration;
use tracing::info;

/// Time between two reports. It keeps the log of several weeks small.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// When the policy's state is reported next.
pub(super) struct PolicyReporter {
    next_report: Timestamp,
}

impl PolicyReporter {
    /// Returns a reporter whose first report is due at once.
    pub(super) fn new() -> Self {
        PolicyReporter {
            next_report: Timestamp::ORIGIN,
        }
    }

    /// Logs the policy's state at regular intervals. No other event explains why queries are
    /// rejected on arrival.
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
