//! Moving averages over the attempts that have ended.

use crate::aggregator::Aggregator;
use crate::api::Ms;
use crate::policy::tuning::{PART_COST_QUANTILE, PART_COST_STEP, SMOOTHING};
use crate::state::{InFlightAttempt, decay, smooth};

impl Aggregator {
    /// Removes an attempt that has ended from the record of its server.
    pub(crate) fn record_end(&mut self, attempt: &InFlightAttempt) {
        self.unpublished.insert(attempt.server);
        self.fleet.servers[attempt.server].record_end(attempt.work, attempt.sent());
    }

    /// Updates the statistics of a server and a class with an attempt that was served, with
    /// this weight in the average of latencies.
    pub(crate) fn record_answer(&mut self, attempt: &InFlightAttempt, elapsed: Ms, weight: f64) {
        self.served_work += attempt.work;
        self.fanout_widths[attempt.class].record_success();
        let class = &mut self.classes[attempt.class];
        let is_above = elapsed > class.part_cost;
        let step = if is_above {
            PART_COST_QUANTILE
        } else {
            PART_COST_QUANTILE - 1.0
        };
        class.part_cost *= 1.0 + PART_COST_STEP * step;
        let server = &mut self.fleet.servers[attempt.server];
        smooth(
            &mut server.latency_per_work,
            weight,
            elapsed / attempt.work_ahead.max(1.0),
        );
        decay(&mut server.error_rate, SMOOTHING);
        server.last_observed_at = self.now;
        server.last_served_sent_at = server.last_served_sent_at.max(attempt.sent_at);
        server.consecutive_failures = 0;
        server.ejection_duration = 0.0;
        server.is_unresponsive = false;
        server.unreachable_until = f64::NEG_INFINITY;
    }

    /// Mean time between two parts that this aggregator sends to one server.
    pub(crate) fn mean_send_interval(&self) -> Ms {
        let servers = self.fleet.rows.server_count();
        self.retry_budget.mean_send_interval(&self.batch(), servers)
    }
}
