//! Advances the queries in flight in each batch: turns the decisions of the components into
//! actions.

use super::PolicyState;
use crate::api::{Action, QueryId};
use crate::fleet::ServerIndex;
use crate::policy::admission::AdmissionDecision;
use crate::policy::batch_context::BatchContext;
use crate::policy::completion::{Completion, CompletionDecision};
use crate::policy::forecast::Forecaster;
use crate::policy::retry_after::{EndWithoutAnswer, RetryAfter};
use crate::policy::retry_policy::{HedgeDecision, NextAttempt, RetryPolicy};
use crate::policy::row_planner::RowPlanner;
use crate::policy::server_selection::ServerSelector;
use crate::policy::time_limits::TimeLimits;
use crate::queries::{AnswerKind, InFlightQuery, PartState, QueryProgress};

/// Advances the queries in flight during one batch of events.
pub(super) struct QueryDriver<'a> {
    batch: BatchContext<'a>,
    state: &'a mut PolicyState,
    actions: &'a mut Vec<Action>,
}

impl<'a> QueryDriver<'a> {
    /// Creates a driver that appends its actions to `actions`.
    pub(super) fn new(
        batch: BatchContext<'a>,
        state: &'a mut PolicyState,
        actions: &'a mut Vec<Action>,
    ) -> Self {
        QueryDriver {
            batch,
            state,
            actions,
        }
    }

    /// Advances a query by one batch: answers it, ends it without an answer, or plans and sends
    /// its parts.
    pub(super) fn advance(&mut self, id: &QueryId, query: &mut InFlightQuery) -> QueryProgress {
        let progress = match self.completion().decide(query) {
            CompletionDecision::Wait => QueryProgress::InFlight,
            CompletionDecision::Answer(answer) => self.answer(id, query, answer),
            CompletionDecision::GiveUp => self.end_without_answer(id, query),
        };
        if progress == QueryProgress::Ended {
            return progress;
        }
        if query.needs_planning() && self.plan(id, query) == QueryProgress::Ended {
            return QueryProgress::Ended;
        }
        for index in query.step_part_indexes() {
            self.advance_part(query, index);
        }
        QueryProgress::InFlight
    }

    /// Cancels the attempts of an ended query that are still in flight, if the settings allow
    /// cancellation, and updates the estimates of its class with the query's forecast error and the
    /// duration of its second step.
    pub(super) fn finish(&mut self, query: &InFlightQuery) {
        self.cancel_attempts(query);
        let objective = self.batch.objective(query);
        let class = &mut self.state.classes[query.class()];
        if let Some(error) = query.forecast_error(self.batch.now) {
            class.record_forecast_error(error, objective);
        }
        if let Some(duration) = query.second_step_duration(self.batch.now) {
            class.record_second_step(duration, objective);
        }
    }

    /// Decides on admission in the first step. If the query stays in flight, assigns the parts of
    /// the current step to replica rows and defers the parts that a complete answer does not need.
    fn plan(&mut self, id: &QueryId, query: &mut InFlightQuery) -> QueryProgress {
        query.start_planning();
        if !query.in_second_step() && self.admit(id, query) == QueryProgress::Ended {
            return QueryProgress::Ended;
        }
        let PolicyState {
            random,
            fleet,
            classes,
            fanout_widths,
            ..
        } = &mut *self.state;
        let forecaster = Forecaster::new(&self.batch, fleet, classes);
        let width = &fanout_widths[query.class()];
        RowPlanner::new(&self.batch, fleet, forecaster).plan(query, width, random);
        QueryProgress::InFlight
    }

    /// Admits the query, or ends it without an answer if the admission control rejects it.
    fn admit(&mut self, id: &QueryId, query: &mut InFlightQuery) -> QueryProgress {
        let PolicyState {
            fleet,
            classes,
            admission,
            ..
        } = &mut *self.state;
        let forecaster = Forecaster::new(&self.batch, fleet, classes);
        let limits = TimeLimits::new(&self.batch, classes);
        match admission.decide(&self.batch, query, &forecaster, &limits) {
            AdmissionDecision::Admit { forecast } => {
                query.admit(forecast);
                QueryProgress::InFlight
            }
            AdmissionDecision::Reject => {
                classes[query.class()].record_rejection();
                query.discard_forecast();
                self.end_without_answer(id, query)
            }
        }
    }

    /// Sends the attempt that a part needs now, if any.
    fn advance_part(&mut self, query: &mut InFlightQuery, index: usize) {
        match self
            .retry_policy()
            .next_attempt(query, &query.parts()[index])
        {
            NextAttempt::None => {}
            NextAttempt::First => self.send_first_attempt(query, index),
            NextAttempt::Retry => self.retry(query, index),
            NextAttempt::Hedge => self.hedge(query, index),
        }
    }

    fn send_first_attempt(&mut self, query: &mut InFlightQuery, index: usize) {
        if let Some(server) = self.selector().select(query, &query.parts()[index]) {
            self.send(query, index, server);
        }
    }

    /// Sends a retry, unless the retry budget is used up, no server can be selected, or the retry
    /// has to wait until its server has capacity.
    fn retry(&mut self, query: &mut InFlightQuery, index: usize) {
        let retry_budget = &mut self.state.retry_budget;
        let Some(permit) = retry_budget.try_acquire_retry(&self.batch) else {
            return;
        };
        let part = &query.parts()[index];
        let Some(server) = self.selector().select(query, part) else {
            return;
        };
        if self.retry_policy().must_wait_for_capacity(part, server) {
            return;
        }
        self.state.retry_budget.record_sent(self.batch.now, permit);
        self.send(query, index, server);
    }

    /// Sends a hedged request for a part whose attempt in flight is overdue. Where the settings do
    /// not allow hedging, cancels that attempt instead, so that a retry can follow. Does neither if
    /// the retry budget is used up, if no server can be selected for a second attempt, or if that
    /// attempt would not be useful, see [`RetryPolicy::hedge_decision`].
    fn hedge(&mut self, query: &mut InFlightQuery, index: usize) {
        let part = &query.parts()[index];
        if !self.retry_policy().is_overdue(query, part) {
            return;
        }
        let retry_budget = &mut self.state.retry_budget;
        let Some(permit) = retry_budget.try_acquire_hedge(&self.batch) else {
            return;
        };
        let Some(server) = self.select_for_hedge(query, part) else {
            return;
        };
        let forecast = self.forecaster().attempt_latency(query, part, server);
        match self.retry_policy().hedge_decision(query, part, forecast) {
            HedgeDecision::Wait => {}
            HedgeDecision::Send => {
                self.state.retry_budget.record_sent(self.batch.now, permit);
                self.send(query, index, server);
            }
            HedgeDecision::CancelAndRetry => self.cancel_last_attempt(part),
        }
    }

    /// Returns the server for a hedged request. `None` if no server can be selected, if the
    /// selected server already has an attempt for the part in flight, or if it is not eligible.
    fn select_for_hedge(&self, query: &InFlightQuery, part: &PartState) -> Option<ServerIndex> {
        let selector = self.selector();
        let server = selector.select(query, part)?;
        // If no holder is eligible, the selection returns an ineligible one, for example one that
        // is ejected. No hedged request is sent to such a server. The selection has already checked
        // that slow start allows the part's work. The other conditions of eligibility do not depend
        // on the work, which is therefore given as 0.
        let is_usable = !part.is_in_flight_to(server) && selector.is_eligible(server, 0.0);
        is_usable.then_some(server)
    }

    fn cancel_last_attempt(&mut self, part: &PartState) {
        if let Some(attempt) = part.last_number() {
            self.actions.push(Action::CancelAttempt {
                part: part.id().clone(),
                attempt,
            });
        }
    }

    /// Sends an attempt for a part, and records it with the part, the server, the gossip and the
    /// table of attempts.
    fn send(&mut self, query: &mut InFlightQuery, index: usize, server: ServerIndex) {
        let timeout = self.limits().attempt_timeout(query);
        let attempt = self
            .forecaster()
            .attempt(query, &query.parts()[index], server);
        let Some(part) = query.part_mut(index) else {
            return;
        };
        let number = part.record_send(&attempt);
        self.actions.push(Action::SendAttempt {
            part: part.id().clone(),
            node: self.state.fleet.server(server).node().clone(),
            timeout,
        });
        self.state.fleet.record_send(&attempt);
        self.state.gossip.on_send(self.batch.now, server);
        self.state
            .attempts
            .insert(part.id().clone(), number, attempt);
    }

    /// Answers the current step of a query. The query stays in flight if its second step follows.
    fn answer(
        &mut self,
        id: &QueryId,
        query: &mut InFlightQuery,
        kind: AnswerKind,
    ) -> QueryProgress {
        self.actions.push(Action::Answer {
            query: id.clone(),
            complete: kind == AnswerKind::Complete,
        });
        if !self.batch.class_of(query).has_second_step || query.in_second_step() {
            self.finish(query);
            return QueryProgress::Ended;
        }
        self.cancel_attempts(query);
        query.start_second_step(self.batch.now, kind);
        QueryProgress::InFlight
    }

    /// Ends a query without an answer: rejects it if a retry is safe, and fails it otherwise.
    fn end_without_answer(&mut self, id: &QueryId, query: &InFlightQuery) -> QueryProgress {
        let query_id = id.clone();
        let end = RetryAfter::new(&self.batch, self.retry_policy()).decide(query);
        self.actions.push(match end {
            EndWithoutAnswer::Reject { retry_after } => Action::Reject {
                query: query_id,
                retry_after,
            },
            EndWithoutAnswer::Fail => Action::Fail { query: query_id },
        });
        self.finish(query);
        QueryProgress::Ended
    }

    /// Cancels all attempts of the current step that are in flight, if the settings allow
    /// cancellation.
    fn cancel_attempts(&mut self, query: &InFlightQuery) {
        if !self.batch.settings.cancellation {
            return;
        }
        for part in query.step_parts() {
            for attempt in part.in_flight_numbers() {
                self.actions.push(Action::CancelAttempt {
                    part: part.id().clone(),
                    attempt,
                });
            }
        }
    }

    fn forecaster(&self) -> Forecaster<'_> {
        let PolicyState { fleet, classes, .. } = &*self.state;
        Forecaster::new(&self.batch, fleet, classes)
    }

    fn limits(&self) -> TimeLimits<'_> {
        TimeLimits::new(&self.batch, &self.state.classes)
    }

    fn selector(&self) -> ServerSelector<'_> {
        let PolicyState { fleet, gossip, .. } = &*self.state;
        ServerSelector::new(&self.batch, fleet, gossip, self.forecaster())
    }

    fn retry_policy(&self) -> RetryPolicy<'_> {
        RetryPolicy::new(&self.batch, &self.state.fleet, self.limits())
    }

    fn completion(&self) -> Completion<'_> {
        Completion::new(&self.batch, self.limits(), self.retry_policy())
    }
}
