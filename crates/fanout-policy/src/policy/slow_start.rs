//! Slow start: how much work a server may be sent while it warms up.

use super::batch_timer::CONTROL_INTERVAL_MS as CONTROL_INTERVAL;
use super::tuning::SLOW_START_SAFETY;
use crate::aggregator::Aggregator;
use crate::api::Ms;
use crate::state::ServerIndex;

impl Aggregator {
    /// Whether a server that may be warming up can be sent `work` within the overload
    /// window of rule 4. The limit holds for all aggregators together. What they have all
    /// served by a warm server is no more than that can do, so each keeps to the limit
    /// times what it has served by one itself; before that is known, to an even share on
    /// one core.
    pub(crate) fn has_slow_start_allowance(&self, server: ServerIndex, work: Ms) -> bool {
        let server = &self.fleet.servers[server];
        let Some(since) = server.warming_since else {
            return true;
        };
        let rule = &self.settings.warm_up;
        let progress = (self.now - since).max(0.0) / rule.duration.max(1.0);
        if progress >= 1.0 {
            return true;
        }
        let capacity = rule.initial_capacity + (1.0 - rule.initial_capacity) * progress;
        let limit = SLOW_START_SAFETY * rule.overload_factor * capacity * rule.overload_window;
        let even_share = 1.0 / self.settings.aggregators.max(1) as f64;
        let allowance = limit * even_share.max(self.served_rate);
        let sent = server.slow_start_work_since(self.now - rule.overload_window);
        if sent + work <= allowance {
            return true;
        }
        // An allowance below the work of one part: sent with that probability, drawn in
        // each control interval, or where gossip shows that the outstanding work leaves
        // capacity within the window.
        let spare = (rule.overload_factor - 1.0) * capacity * rule.overload_window;
        let is_informed = self.gossip_received_at > self.now - CONTROL_INTERVAL;
        let has_spare = is_informed && server.peer_work + work <= spare;
        let probability = allowance / work * CONTROL_INTERVAL / rule.overload_window;
        sent == 0.0 && (has_spare || server.slow_start_draw < probability)
    }
}
