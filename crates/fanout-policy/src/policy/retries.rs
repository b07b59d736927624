//! First attempts, retries and hedged requests.

use super::batch_context::BatchContext;
use super::tuning::{
    CANCEL_AGE, CANCEL_MAX_FORECAST, HEDGE_FACTOR, OVERDUE_FACTOR, OVERDUE_MIN, OVERLOAD_EJECTION,
    POISON_LOST_CONNECTIONS,
};
use crate::aggregator::Aggregator;
use crate::api::{Ms, RetrySafety};
use crate::state::{Attempt, InFlightQuery, PartState, ServerIndex};

impl Aggregator {
    /// Sends the first attempt for a part, a retry of a failed one, or a hedge of an overdue one.
    pub(crate) fn advance_part(&mut self, query: &mut InFlightQuery, index: usize) {
        let part = &query.parts[index];
        let can_send = !part.is_served && (part.attempts.len() as u32) < self.settings.max_attempts;
        if can_send && part.attempts.is_empty() {
            self.send_first_attempt(query, index);
        } else if can_send && self.may_repeat(query, part) && !self.is_poison_query(query) {
            if part.has_attempt_in_flight() {
                self.hedge(query, index);
            } else {
                self.retry(query, index);
            }
        }
    }

    fn send_first_attempt(&mut self, query: &mut InFlightQuery, index: usize) {
        let is_deferred = query.parts[index].is_deferred;
        if is_deferred && !query.parts.iter().any(|part| self.needs_retry(query, part)) {
            return;
        }
        if let Some(server) = self.select_server(query, index) {
            self.send(query, index, server);
        }
    }

    fn retry(&mut self, query: &mut InFlightQuery, index: usize) {
        if self.allows_retry()
            && let Some(server) = self.select_server(query, index)
            && !self.must_wait_for_capacity(&query.parts[index], server)
        {
            self.retry_budget.record_sent(self.now);
            self.send(query, index, server);
        }
    }

    /// Whether all holders are overloaded: retried at once, the remaining attempts would be
    /// rejected as well.
    fn must_wait_for_capacity(&self, part: &PartState, server: ServerIndex) -> bool {
        let wait = OVERLOAD_EJECTION * self.shortest_objective() * part.attempts.len() as f64;
        part.last_attempt_age(self.now) < wait
            && self.fleet.servers[server].overloaded_until > self.now
    }

    fn hedge(&mut self, query: &mut InFlightQuery, index: usize) {
        if !self.is_overdue(query, &query.parts[index]) || !self.allows_hedge() {
            return;
        }
        let Some(server) = self.select_server(query, index) else {
            return;
        };
        let work = self.part_cost(query, index) + self.call_cost(server);
        let forecast = self.forecast(server, query.class, work);
        let part = &query.parts[index];
        let is_usable = !part.is_in_flight_to(server) && self.is_eligible(server, 0.0);
        let is_in_time = self.now + forecast <= self.useful_until(query);
        if !is_usable || !is_in_time || !self.is_hedge_faster(part, forecast) {
            return;
        }
        if self.settings.hedging {
            self.retry_budget.record_sent(self.now);
            self.send(query, index, server);
        } else if self.may_cancel_overdue(query, part, forecast) {
            self.cancel_last_attempt(part);
        }
    }

    /// Whether the last attempt is late by more than a hedge takes: late against its own
    /// forecast or that of the hedge, whichever is less, since an attempt at a slow server
    /// is not waited for.
    fn is_hedge_faster(&self, part: &PartState, forecast: Ms) -> bool {
        let expected = part.last_expected_latency().min(forecast);
        part.last_attempt_age(self.now) > expected + HEDGE_FACTOR * forecast
    }

    /// Whether to cancel an overdue attempt where two may not be in flight; the retry is
    /// sent once that is reported. An attempt that is only slow has most of its work done
    /// already, which would be lost.
    fn may_cancel_overdue(&self, query: &InFlightQuery, part: &PartState, forecast: Ms) -> bool {
        let objective = self.objective(query);
        let min_age = (OVERDUE_FACTOR * part.last_expected_latency()).min(CANCEL_AGE * objective);
        part.last_attempt_age(self.now) > min_age && forecast <= CANCEL_MAX_FORECAST * objective
    }

    /// Whether a part was sent and its last attempt has failed or is overdue.
    fn needs_retry(&self, query: &InFlightQuery, part: &PartState) -> bool {
        !part.is_served && (self.is_overdue(query, part) || part.has_last_attempt_ended())
    }

    fn is_overdue(&self, query: &InFlightQuery, part: &PartState) -> bool {
        let min_age = OVERDUE_MIN * self.step_objective(query);
        part.last_attempt_age(self.now) > part.last_expected_latency().max(min_age)
    }

    /// Whether the query itself may crash each server that runs it: attempts of several
    /// parts lost their connections, more than were served. It is not retried further. A
    /// server that has answered since is up.
    pub(crate) fn is_poison_query(&self, query: &InFlightQuery) -> bool {
        let is_down = |attempt: &Attempt| self.fleet.servers[attempt.server].is_unresponsive;
        let lost_server = |attempt: &&Attempt| attempt.lost_connection() && is_down(attempt);
        let crashes = query.attempts().filter(lost_server).count();
        crashes >= POISON_LOST_CONNECTIONS && crashes > query.served_parts()
    }

    /// Whether the class allows another attempt (rule 2). Attempts that never ran do not count.
    pub(crate) fn may_repeat(&self, query: &InFlightQuery, part: &PartState) -> bool {
        let max_in_flight = usize::from(self.settings.hedging || self.settings.cancellation);
        if part.attempts_in_flight() > max_in_flight {
            return false;
        }
        let first_run = part.first_possible_run();
        match self.class_of(query).retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::NotIdempotent => first_run.is_none(),
            RetrySafety::IdempotencyKey { window } => {
                first_run.is_none_or(|run| self.now < run.sent_at + window)
            }
        }
    }

    fn allows_retry(&mut self) -> bool {
        let batch = BatchContext {
            now: self.now,
            settings: &self.settings,
        };
        self.retry_budget.allows_retry(&batch)
    }

    fn allows_hedge(&mut self) -> bool {
        let batch = BatchContext {
            now: self.now,
            settings: &self.settings,
        };
        self.retry_budget.allows_hedge(&batch)
    }

    fn send(&mut self, query: &mut InFlightQuery, index: usize, server: ServerIndex) {
        let end = self.useful_until(query).min(query.client_deadline);
        let timeout =
            (end < query.client_deadline).then_some((end - self.now).max(self.settings.tick));
        self.dispatch(query, index, server, timeout);
    }
}
