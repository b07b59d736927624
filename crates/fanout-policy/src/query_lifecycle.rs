//! Sending and cancelling of attempts, and the end of queries.

use crate::aggregator::Aggregator;
use crate::api::{Action, Ms, QueryId};
use crate::policy::tuning::{
    FORECAST_ERROR_SMOOTHING, MAX_FORECAST_ERROR, MAX_SECOND_STEP, SMOOTHING,
};
use crate::state::{InFlightAttempt, InFlightQuery, PartState, ServerIndex, smooth};

impl Aggregator {
    /// Sends an attempt for a part and records it.
    pub(crate) fn dispatch(
        &mut self,
        query: &mut InFlightQuery,
        index: usize,
        server: ServerIndex,
        timeout: Option<Ms>,
    ) {
        let work = self.part_cost(query, index) + self.call_cost(server);
        let expected_latency = self.forecast(server, query.class, work);
        let record = &self.fleet.servers[server];
        let attempt = InFlightAttempt {
            server,
            class: query.class,
            work,
            work_ahead: self.peer_work(record) + (record.outstanding_work + work),
            sent_at: self.now,
            expected_latency,
        };
        let record = &mut self.fleet.servers[server];
        record.record_send(self.now, work, expected_latency);
        let node = record.node.clone();
        self.unpublished.insert(server);
        self.next_publish_at = self.now;
        let part = &mut query.parts[index];
        self.queries.record_send(part, attempt);
        self.actions.push(Action::SendAttempt {
            part: part.id.clone(),
            node,
            timeout,
        });
    }

    /// Answers a query. Returns whether it has ended: not if its second step follows.
    pub(crate) fn answer(
        &mut self,
        id: &QueryId,
        query: &mut InFlightQuery,
        complete: bool,
    ) -> bool {
        let answer = Action::Answer {
            query: id.clone(),
            complete,
        };
        if !self.class_of(query).has_second_step || query.in_second_step() {
            return self.end(query, answer);
        }
        self.actions.push(answer);
        self.cancel_attempts(query);
        query.start_second_step(self.now, complete);
        false
    }

    /// Ends a query as rejected. Returns that it has ended.
    pub(crate) fn reject(
        &mut self,
        id: &QueryId,
        query: &InFlightQuery,
        retry_after: Option<Ms>,
    ) -> bool {
        let rejection = Action::Reject {
            query: id.clone(),
            retry_after,
        };
        self.end(query, rejection)
    }

    /// Ends a query as failed. Returns that it has ended.
    pub(crate) fn fail(&mut self, id: &QueryId, query: &InFlightQuery) -> bool {
        self.end(query, Action::Fail { query: id.clone() })
    }

    /// Ends a query with this final action. Returns that it has ended.
    fn end(&mut self, query: &InFlightQuery, action: Action) -> bool {
        self.actions.push(action);
        self.finish(query);
        true
    }

    /// Cancels what is left of a query and learns from its duration.
    pub(crate) fn finish(&mut self, query: &InFlightQuery) {
        self.cancel_attempts(query);
        let objective = self.objective(query);
        let class = &mut self.classes[query.class];
        let first_end = if query.in_second_step() {
            query.first_answer_at
        } else {
            self.now
        };
        if query.forecast > 0.0 && first_end > query.arrived_at {
            let error = first_end - query.arrived_at - query.forecast;
            let error = error.clamp(0.0, MAX_FORECAST_ERROR * objective);
            smooth(&mut class.forecast_error, FORECAST_ERROR_SMOOTHING, error);
        }
        if query.in_second_step() {
            let duration = (self.now - query.first_answer_at).min(objective * MAX_SECOND_STEP);
            smooth(&mut class.second_step_duration, SMOOTHING, duration);
        }
        self.queries.remove_indexes(query);
    }

    /// Cancels the last attempt of a part.
    pub(crate) fn cancel_last_attempt(&mut self, part: &PartState) {
        let attempt = part.attempts.len() as u32 - 1;
        self.actions.push(Action::CancelAttempt {
            part: part.id.clone(),
            attempt,
        });
    }

    /// Cancels all attempts of the current step that are in flight, where attempts may be
    /// cancelled.
    fn cancel_attempts(&mut self, query: &InFlightQuery) {
        if !self.settings.cancellation {
            return;
        }
        for part in query.step_parts() {
            for (number, attempt) in part.attempts.iter().enumerate() {
                if attempt.is_in_flight() {
                    let attempt = number as u32;
                    self.actions.push(Action::CancelAttempt {
                        part: part.id.clone(),
                        attempt,
                    });
                }
            }
        }
    }
}
