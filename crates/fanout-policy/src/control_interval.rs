//! What runs once in each control interval: the controllers, moving averages and the removal of
//! old state.

use crate::aggregator::Aggregator;
use crate::api::{Ms, ServingState};
use crate::policy::batch_context::BatchContext;
use crate::policy::batch_timer::CONTROL_INTERVAL_MS as CONTROL_INTERVAL;
use crate::policy::tuning::{
    DECAY, FLEET_LATENCY_WINDOW, INITIAL_LATENCY_PER_WORK, PEER_REPORT_LIFETIME, SMOOTHING,
};
use crate::state::{Server, decay, smooth};

impl Aggregator {
    /// Runs all controllers and updates all averages.
    pub(crate) fn run_control_loops(&mut self) {
        let max_rows = self.fleet.rows.max_holders();
        for width in &mut self.fanout_widths {
            width.adjust(max_rows);
        }
        self.update_fleet_latency();
        self.decay_server_statistics();
        self.update_slow_start();
        self.update_served_rate();
        self.expire_peer_reports();
        self.forget_removed_servers();
        let batch = BatchContext {
            now: self.now,
            settings: &self.settings,
        };
        self.retry_budget.discard_expired(&batch);
    }

    /// Sets the fleet's latency to the median of the servers observed of late. Without any
    /// it decays to the default: else it would be believed for ever where all queries are
    /// rejected after a bad period.
    fn update_fleet_latency(&mut self) {
        let observed_since = self.now - FLEET_LATENCY_WINDOW;
        let observed = self
            .fleet
            .servers
            .iter()
            .filter(|server| server.last_observed_at > observed_since);
        let mut latencies: Vec<f64> = observed.map(|server| server.latency_per_work).collect();
        latencies.sort_by(f64::total_cmp);
        match latencies.get(latencies.len() / 2) {
            Some(median) => self.fleet_latency_per_work = *median,
            None => smooth(
                &mut self.fleet_latency_per_work,
                DECAY,
                INITIAL_LATENCY_PER_WORK,
            ),
        }
    }

    /// Lets statistics without new samples return to their defaults, so that slow servers
    /// are tried again.
    fn decay_server_statistics(&mut self) {
        let unobserved_since = self.now - CONTROL_INTERVAL;
        for server in self.fleet.servers.iter_mut() {
            if server.last_observed_at < unobserved_since {
                smooth(
                    &mut server.latency_per_work,
                    DECAY,
                    self.fleet_latency_per_work,
                );
            }
            for health in server.class_health.values_mut() {
                decay(&mut health.error_rate, DECAY);
            }
            if server.in_flight.is_empty() {
                decay(&mut server.error_rate, DECAY);
            }
        }
    }

    /// Draws anew for each server and ends the slow start of those that are warm.
    fn update_slow_start(&mut self) {
        let window_start = self.now - self.settings.warm_up.overload_window;
        for server in self.fleet.servers.iter_mut() {
            server.slow_start_draw = self.random.fraction();
            server
                .slow_start_sends
                .retain(|send| send.sent_at >= window_start);
            let is_warming = |since: &Ms| since + self.settings.warm_up.duration > self.now;
            server.warming_since = server.warming_since.filter(is_warming);
        }
    }

    /// Updates the rate of work served by a warm server.
    fn update_served_rate(&mut self) {
        let is_warm = |server: &&Server| {
            server.state == ServingState::Serving && server.warming_since.is_none()
        };
        let warm_servers = self.fleet.servers.iter().filter(is_warm).count().max(1) as f64;
        let rate = std::mem::take(&mut self.served_work) / CONTROL_INTERVAL / warm_servers;
        smooth(&mut self.served_rate, SMOOTHING, rate);
    }

    /// Discards expired reports of other aggregators and marks servers with outstanding
    /// work for publication.
    fn expire_peer_reports(&mut self) {
        let deadline = self.now - PEER_REPORT_LIFETIME;
        for index in self.fleet.servers.indexes() {
            let server = &mut self.fleet.servers[index];
            server.discard_peer_reports(deadline);
            if server.outstanding_work > 0.0 {
                self.unpublished.insert(index);
            }
        }
    }

    /// Forgets removed servers to which nothing refers, so that records stay bounded as
    /// servers are replaced.
    fn forget_removed_servers(&mut self) {
        let in_use = self.queries.servers_in_use();
        let unobserved_since = self.now - self.settings.warm_up.duration;
        self.fleet
            .forget_removed(unobserved_since, |server| in_use.contains(&server));
        let by_name = &self.fleet.by_name;
        self.unpublished
            .retain(|server| by_name.values().any(|known| known == server));
    }
}
