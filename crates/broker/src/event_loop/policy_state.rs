//! Regular reports on the policy's state in the log.

use super::EventLoop;
use broker_types::time::Timestamp;
use std::time::Duration;
use tracing::info;

/// Time between two reports. It keeps the log of several weeks small.
const REPORT_INTERVAL: Duration = Duration::from_secs(5);

impl EventLoop {
    /// Logs the policy's state at regular intervals. No other event explains why queries are rejected on arrival.
    pub(super) fn log_policy_state(&mut self, now: Timestamp) {
        if now < self.next_policy_report {
            return;
        }
        self.next_policy_report = now + REPORT_INTERVAL;
        let summary = self.policy.summary(now);
        info!(
            name: "policy_state_reported",
            in_flight = self.policy.in_flight(),
            server_connections = self.servers.open_connections(),
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
