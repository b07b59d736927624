//! Updates the statistics of servers and classes after an attempt has ended.

use super::PolicyState;
use crate::api::Ms;
use crate::policy::batch_context::BatchContext;
use crate::policy::ended_attempt::{AttemptEnd, EndedAttempt, HealthSignal};
use crate::policy::outlier_detection::{EjectionContext, EjectionJitter};
use crate::queries::InFlightAttempt;

impl PolicyState {
    /// Updates the statistics of the attempt's server and class with the end of the attempt.
    pub(super) fn record_attempt_end(
        &mut self,
        batch: &BatchContext,
        attempt: &InFlightAttempt,
        end: AttemptEnd,
    ) {
        // One random number is drawn for each end of an attempt, whether or not it causes an
        // ejection, so the number of draws does not depend on the outcome.
        let jitter = EjectionJitter::draw(&mut self.random);
        let health = self.fleet.server(attempt.server).health();
        let ended = EndedAttempt::new(batch, attempt, end, health.last_served_sent_at());
        self.gossip.mark_changed(attempt.server);
        self.fleet.record_end(&ended);
        let width = &mut self.fanout_widths[attempt.class];
        // The signals `None` and `Failure` do not count for the fan-out width, since they indicate
        // nothing about the load of the server. After an outdated timeout the server has answered
        // again, so the timeout does not count as a sign of overload.
        match ended.health_signal() {
            HealthSignal::None => {}
            HealthSignal::Answer => {
                width.record_normal_end();
                self.classes[attempt.class].record_answer_time(ended.answer_time());
                self.fleet.on_answer(batch, &ended);
            }
            HealthSignal::Overload => {
                width.record_overload();
                let context = self.ejection_context(batch, jitter);
                self.fleet.on_overload(&ended, &context);
            }
            HealthSignal::Timeout => {
                width.record_overload();
                let context = self.ejection_context(batch, jitter);
                self.fleet.on_timeout(batch, &ended);
                self.fleet.on_failure(batch, &ended, &context);
            }
            HealthSignal::OutdatedTimeout => width.record_normal_end(),
            HealthSignal::Failure => {
                let context = self.ejection_context(batch, jitter);
                self.fleet.on_failure(batch, &ended, &context);
            }
        }
    }

    /// Applies the load report that a server sent with the end of an attempt: `load` is the
    /// number of requests that wait or run there. The report arrives late and may be wrong, so it
    /// is used only for latency forecasts and the latency estimates that they depend on.
    pub(super) fn record_load_report(
        &mut self,
        batch: &BatchContext,
        attempt: &InFlightAttempt,
        load: f64,
    ) {
        let part_cost = self.classes[attempt.class].part_cost();
        self.fleet
            .on_load_report(batch, attempt.server, load, part_cost);
    }

    /// Returns the values that the length of an ejection depends on besides the server's state.
    fn ejection_context(&self, batch: &BatchContext, jitter: EjectionJitter) -> EjectionContext {
        let servers = self.fleet.rows().server_count();
        let send_interval: Ms = self.retry_budget.mean_send_interval(batch, servers);
        EjectionContext::new(batch.now, batch.shortest_objective(), send_interval, jitter)
    }
}
