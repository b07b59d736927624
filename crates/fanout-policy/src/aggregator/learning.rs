//! What the components learn from the end of an attempt, in order.

use super::Components;
use crate::api::Ms;
use crate::policy::batch_context::BatchContext;
use crate::policy::ended_attempt::{AttemptEnd, EndedAttempt, Lesson};
use crate::policy::outlier_detection::{EjectionJitter, EjectionScale};
use crate::queries::InFlightAttempt;

impl Components {
    /// Learns from the end of an attempt.
    pub(super) fn learn_from_end(
        &mut self,
        batch: &BatchContext,
        attempt: &InFlightAttempt,
        end: AttemptEnd,
    ) {
        let jitter = EjectionJitter::draw(&mut self.random);
        let server = self.fleet.server(attempt.server);
        let ended = EndedAttempt::new(batch, attempt, end, server);
        self.gossip.mark_changed(attempt.server);
        self.fleet.record_end(&ended);
        let width = &mut self.fanout_widths[attempt.class];
        match ended.lesson() {
            Lesson::Nothing => {}
            Lesson::Answer => {
                width.record_success();
                self.classes[attempt.class].record_answer_time(ended.answer_time());
                self.fleet.on_answer(batch, &ended);
            }
            Lesson::Overload => {
                width.record_overload();
                let scale = self.ejection_scale(batch, jitter);
                self.fleet.on_overload(&ended, &scale);
            }
            Lesson::Timeout => {
                width.record_overload();
                let scale = self.ejection_scale(batch, jitter);
                self.fleet.on_timeout(batch, &ended);
                self.fleet.on_failure(batch, &ended, &scale);
            }
            Lesson::OutdatedTimeout => width.record_success(),
            Lesson::Failure => {
                let scale = self.ejection_scale(batch, jitter);
                self.fleet.on_failure(batch, &ended, &scale);
            }
        }
    }

    /// Takes over a server's report of its load. It is late and may be wrong, so it only
    /// affects forecasts.
    pub(super) fn learn_from_load_report(
        &mut self,
        batch: &BatchContext,
        attempt: &InFlightAttempt,
        load: f64,
    ) {
        let part_cost = self.classes[attempt.class].part_cost();
        self.fleet
            .on_load_report(batch, attempt.server, load, part_cost);
    }

    fn ejection_scale(&self, batch: &BatchContext, jitter: EjectionJitter) -> EjectionScale {
        let servers = self.fleet.rows().server_count();
        let send_interval: Ms = self.retry_budget.mean_send_interval(batch, servers);
        EjectionScale::new(batch.now, batch.shortest_objective(), send_interval, jitter)
    }
}
