//! When a part gets its first attempt, a retry or a hedged request.
//!
//! [`RetryPolicy`] decides from the state of the query and its servers; it has no state of its own.

use super::batch_context::BatchContext;
use super::ended_attempt::{MIN_OVERDUE_OBJECTIVES, OVERDUE_FORECAST_FACTOR};
use super::outlier_detection::capacity_wait;
use super::time_limits::TimeLimits;
use crate::api::{Ms, RetrySafety};
use crate::fleet::{Fleet, ServerIndex};
use crate::queries::{Attempt, InFlightQuery, PartState};

/// A hedged request is sent once an attempt is late by this multiple of the hedge's own forecast.
const HEDGE_LATENESS_FACTOR: f64 = 2.0;
/// Without hedging: highest forecast at which an overdue attempt is cancelled for a retry, in
/// latency objectives.
const MAX_CANCEL_FORECAST_OBJECTIVES: f64 = 0.15;
/// Age from which an attempt is cancelled even before it is overdue, in latency objectives.
const CANCEL_AGE_OBJECTIVES: f64 = 0.4;
/// Lost connections from which a query counts as a poison query: one may be chance.
const POISON_LOST_CONNECTIONS: usize = 2;

/// What a part may need next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum PartStep {
    /// Nothing.
    Wait,
    /// Its first attempt.
    FirstAttempt,
    /// A retry, since no attempt is in flight.
    Retry,
    /// A hedged request, if the attempt in flight is overdue.
    Hedge,
}

/// What to do about an overdue attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HedgeDecision {
    /// Wait for it.
    Wait,
    /// Send a hedged request beside it.
    Send,
    /// Cancel it. The retry is sent once the cancellation is reported.
    CancelFirst,
}

/// Decides on retries and hedged requests in one batch.
#[derive(Clone, Copy)]
pub(crate) struct RetryPolicy<'a> {
    batch: &'a BatchContext<'a>,
    fleet: &'a Fleet,
    limits: TimeLimits<'a>,
}

impl<'a> RetryPolicy<'a> {
    /// A policy with this knowledge.
    pub(crate) fn new(
        batch: &'a BatchContext<'a>,
        fleet: &'a Fleet,
        limits: TimeLimits<'a>,
    ) -> Self {
        RetryPolicy {
            batch,
            fleet,
            limits,
        }
    }

    /// What a part may need next.
    pub(crate) fn next_step(&self, query: &InFlightQuery, part: &PartState) -> PartStep {
        if part.is_served() || !part.has_attempts_left(self.batch.settings.max_attempts) {
            return PartStep::Wait;
        }
        if part.attempts().is_empty() {
            return self.first_step(query, part);
        }
        if !self.may_repeat(query, part) || self.is_poison_query(query) {
            return PartStep::Wait;
        }
        if part.has_attempt_in_flight() {
            PartStep::Hedge
        } else {
            PartStep::Retry
        }
    }

    /// Whether a part that was not served may still be.
    pub(crate) fn can_still_complete(&self, query: &InFlightQuery, part: &PartState) -> bool {
        if part.has_attempt_in_flight() {
            return true;
        }
        let may_send = part.attempts().is_empty()
            || !self.is_poison_query(query) && self.may_repeat(query, part);
        let can_send = part.has_attempts_left(self.batch.settings.max_attempts) && may_send;
        can_send && !self.fleet.holders(part.shard()).is_empty()
    }

    /// Whether the query itself may crash each server that runs it: attempts of several
    /// parts lost their connections, more than were served. It is not retried further. A
    /// server that has answered since is up.
    pub(crate) fn is_poison_query(&self, query: &InFlightQuery) -> bool {
        let is_down = |attempt: &Attempt| {
            let server = self.fleet.server(attempt.server());
            server.health().is_unresponsive()
        };
        let lost_server = |attempt: &&Attempt| attempt.lost_connection() && is_down(attempt);
        let crashes = query.attempts().filter(lost_server).count();
        crashes >= POISON_LOST_CONNECTIONS && crashes > query.served_parts()
    }

    /// Whether the last attempt of a part is later than forecast, by the least age at least.
    pub(crate) fn is_overdue(&self, query: &InFlightQuery, part: &PartState) -> bool {
        let min_age = MIN_OVERDUE_OBJECTIVES * self.limits.step_objective(query);
        part.last_attempt_age(self.batch.now) > part.last_expected_latency().max(min_age)
    }

    /// Whether a retry must wait since all holders are overloaded: at once, it would be
    /// rejected as well.
    pub(crate) fn must_wait_for_capacity(&self, part: &PartState, server: ServerIndex) -> bool {
        let now = self.batch.now;
        let wait = capacity_wait(self.batch.shortest_objective(), part.attempts().len());
        let is_overloaded = self.fleet.server(server).outliers().is_overloaded(now);
        part.last_attempt_age(now) < wait && is_overloaded
    }

    /// What to do about an overdue attempt of a part where a hedge would take this time.
    pub(crate) fn hedge_decision(
        &self,
        query: &InFlightQuery,
        part: &PartState,
        forecast: Ms,
    ) -> HedgeDecision {
        let is_in_time = self.batch.now + forecast <= self.limits.useful_until(query);
        if !is_in_time || !self.is_hedge_faster(part, forecast) {
            HedgeDecision::Wait
        } else if self.batch.settings.hedging {
            HedgeDecision::Send
        } else if self.may_cancel_overdue(query, part, forecast) {
            HedgeDecision::CancelFirst
        } else {
            HedgeDecision::Wait
        }
    }

    /// A deferred part is sent once another part needs a retry.
    fn first_step(&self, query: &InFlightQuery, part: &PartState) -> PartStep {
        let needs_retry = |part: &PartState| self.needs_retry(query, part);
        if part.is_deferred() && !query.parts().iter().any(needs_retry) {
            PartStep::Wait
        } else {
            PartStep::FirstAttempt
        }
    }

    /// Whether a part was sent and its last attempt has failed or is overdue.
    fn needs_retry(&self, query: &InFlightQuery, part: &PartState) -> bool {
        !part.is_served() && (self.is_overdue(query, part) || part.has_last_attempt_ended())
    }

    /// Whether another attempt could not execute the part a second time to any effect, and
    /// not too many are in flight. Attempts that never ran do not count.
    fn may_repeat(&self, query: &InFlightQuery, part: &PartState) -> bool {
        let settings = self.batch.settings;
        let max_in_flight = usize::from(settings.hedging || settings.cancellation);
        if part.attempts_in_flight() > max_in_flight {
            return false;
        }
        let first_run = part.first_possible_run();
        match self.batch.class_of(query).retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::NotIdempotent => first_run.is_none(),
            RetrySafety::IdempotencyKey { window } => {
                first_run.is_none_or(|run| self.batch.now < run.sent_at() + window)
            }
        }
    }

    /// Whether the last attempt is late by more than a hedge takes: late against its own
    /// forecast or that of the hedge, whichever is less, since an attempt at a slow server
    /// is not waited for.
    fn is_hedge_faster(&self, part: &PartState, forecast: Ms) -> bool {
        let expected = part.last_expected_latency().min(forecast);
        part.last_attempt_age(self.batch.now) > expected + HEDGE_LATENESS_FACTOR * forecast
    }

    /// Whether to cancel an overdue attempt where two may not be in flight. An attempt that
    /// is only slow has most of its work done already, which would be lost.
    fn may_cancel_overdue(&self, query: &InFlightQuery, part: &PartState, forecast: Ms) -> bool {
        let objective = self.batch.objective(query);
        let overdue_age = OVERDUE_FORECAST_FACTOR * part.last_expected_latency();
        let min_age = overdue_age.min(CANCEL_AGE_OBJECTIVES * objective);
        part.last_attempt_age(self.batch.now) > min_age
            && forecast <= MAX_CANCEL_FORECAST_OBJECTIVES * objective
    }
}
