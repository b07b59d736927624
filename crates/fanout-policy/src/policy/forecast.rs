//! Latency forecasts and what they are learned from.

use super::tuning::{
    ERROR_PENALTY, MAX_HINT_FACTOR, MIN_DIVISOR, OVERDUE_FACTOR, REPORTED_WORK_DRAIN,
};
use crate::aggregator::Aggregator;
use crate::api::Ms;
use crate::state::{InFlightAttempt, InFlightQuery, Server, ServerIndex};

impl Aggregator {
    /// Forecast time until the answer to `work` more work at a server: the server's latency for all
    /// outstanding work, its known delay, and a penalty for its error rate.
    pub(crate) fn forecast(&self, server: ServerIndex, class: usize, work: Ms) -> Ms {
        let server = &self.fleet.servers[server];
        let errors = self.error_rate(server, class) * ERROR_PENALTY * self.shortest_objective();
        let total_work = self.peer_work(server) + server.outstanding_work + work;
        server.latency_per_work * total_work + self.known_delay(server) + errors
    }

    /// Time by which the oldest unanswered attempt is late, and the rest of an overload or
    /// unreachability.
    fn known_delay(&self, server: &Server) -> Ms {
        let late = server.unanswered_lateness(self.now);
        late + (server.overloaded_until.max(server.unreachable_until) - self.now).max(0.0)
    }

    /// Error rate of a server for a class. One not observed for an objective is assumed to
    /// be as silent as its zone, so that a network partition is not discovered at each
    /// server anew.
    fn error_rate(&self, server: &Server, class: usize) -> f64 {
        let is_unobserved = server.last_observed_at < self.now - self.shortest_objective();
        let zone_silence = self.fleet.zone_silence(server);
        let zone_silence = if is_unobserved { zone_silence } else { 0.0 };
        server
            .error_rate
            .max(zone_silence)
            .max(server.class_error_rate(class))
    }

    /// Estimated cost of a part.
    pub(crate) fn part_cost(&self, query: &InFlightQuery, part: usize) -> Ms {
        let cost = self.classes[query.class].part_cost;
        let bounded = |hint: Ms| hint.clamp(cost / MAX_HINT_FACTOR, cost * MAX_HINT_FACTOR);
        query.parts[part].cost_hint.map_or(cost, bounded)
    }

    /// Cost of the call that another part would open at a server; parts sent in one batch
    /// share calls.
    pub(crate) fn call_cost(&self, server: ServerIndex) -> Ms {
        let parts = self.fleet.servers[server].parts_in_batch;
        let opens_call = parts.is_multiple_of(self.settings.max_parts_per_call.max(1));
        if opens_call {
            self.settings.call_cost
        } else {
            0.0
        }
    }

    /// Outstanding work of other aggregators at a server, from gossip and from its own load report.
    pub(crate) fn peer_work(&self, server: &Server) -> Ms {
        let age = self.now - server.reported_work.received_at;
        let drained = REPORTED_WORK_DRAIN * age / server.latency_per_work.max(MIN_DIVISOR);
        server.peer_work + (server.reported_work.work - drained).max(0.0)
    }

    /// Takes over a server's report of its load. It is late and may be wrong, so it only
    /// affects forecasts.
    pub(crate) fn on_load_report(&mut self, attempt: &InFlightAttempt, load: f64) {
        let latency_per_work = self.fleet_latency_per_work.max(MIN_DIVISOR);
        let max_work = OVERDUE_FACTOR * self.shortest_objective() / latency_per_work;
        let part_cost = self.classes[attempt.class].part_cost;
        self.fleet.servers[attempt.server].record_load_report(self.now, load, part_cost, max_work);
    }

    /// Share of a server's load that this aggregator observes in its own answers: among
    /// many, very little.
    pub(crate) fn load_visibility(&self) -> f64 {
        self.batch().load_visibility()
    }
}
