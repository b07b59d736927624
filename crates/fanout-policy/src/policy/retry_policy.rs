//! Decides when a part is sent its first attempt, a retry or a hedged request.
//!
//! [`RetryPolicy`] decides from the state of the query and of the servers. It has no state of its
//! own.

use super::batch_context::BatchContext;
use super::ended_attempt::{MIN_OVERDUE_OBJECTIVES, OVERDUE_FORECAST_FACTOR};
use super::outlier_detection::capacity_wait;
use super::time_limits::TimeLimits;
use crate::api::{Ms, RetrySafety};
use crate::fleet::{Fleet, ServerIndex};
use crate::queries::{Attempt, InFlightQuery, PartState};

/// A hedged request is sent once the attempt in flight is late by more than this multiple of the
/// hedged request's own forecast latency.
const HEDGE_LATENESS_FACTOR: f64 = 2.0;
/// Where hedging is not allowed, an overdue attempt is cancelled only if the forecast latency of
/// the retry that replaces it is at most this many latency objectives. Cancelled attempts leave
/// work behind at their servers. While the fleet is busy this work would increase the overload, and
/// the forecasts are then longer than this maximum.
const MAX_CANCEL_FORECAST_OBJECTIVES: f64 = 0.15;
/// Age after which an attempt may be cancelled even if it is younger than
/// [`OVERDUE_FORECAST_FACTOR`] times its forecast latency, in latency objectives. A retry that is
/// sent much later would hardly be answered in time.
const CANCEL_AGE_OBJECTIVES: f64 = 0.4;
/// Minimum number of attempts with a lost connection for which a query counts as a poison query.
/// A single lost connection may be a coincidence.
const POISON_LOST_CONNECTIONS: usize = 2;

/// Kind of attempt that a part may need next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum NextAttempt {
    /// The part needs no further attempt now.
    None,
    /// The part needs its first attempt.
    First,
    /// The part needs a retry: its earlier attempts have all ended, and none was served.
    Retry,
    /// An attempt of the part is in flight. Once that attempt is overdue, the part may need a
    /// hedged request or, where hedging is not allowed, the cancellation of that attempt so that a
    /// retry can replace it.
    Hedge,
}

/// Decision about an attempt in flight that is overdue.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HedgeDecision {
    /// Keep waiting for the answer to the attempt.
    Wait,
    /// Send a hedged request while the attempt stays in flight.
    Send,
    /// Cancel the attempt, so that a retry can replace it. The retry is sent in a later batch, once
    /// the cancellation is reported.
    CancelAndRetry,
}

/// Decides on retries and hedged requests in one batch.
#[derive(Clone, Copy)]
pub(crate) struct RetryPolicy<'a> {
    batch: &'a BatchContext<'a>,
    fleet: &'a Fleet,
    limits: TimeLimits<'a>,
}

impl<'a> RetryPolicy<'a> {
    /// Creates a retry policy for the current batch.
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

    /// Returns the kind of attempt that a part may need next.
    pub(crate) fn next_attempt(&self, query: &InFlightQuery, part: &PartState) -> NextAttempt {
        if part.is_served() || !part.has_attempts_left(self.batch.settings.max_attempts) {
            return NextAttempt::None;
        }
        if part.attempts().is_empty() {
            return self.first_attempt(query, part);
        }
        if !self.may_repeat(query, part) || self.is_poison_query(query) {
            return NextAttempt::None;
        }
        if part.has_attempt_in_flight() {
            NextAttempt::Hedge
        } else {
            NextAttempt::Retry
        }
    }

    /// Returns whether a part that was not served may still be: an attempt is in flight, or
    /// another attempt may be sent to a holder of its shard.
    pub(crate) fn can_still_complete(&self, query: &InFlightQuery, part: &PartState) -> bool {
        if part.has_attempt_in_flight() {
            return true;
        }
        let may_send = part.attempts().is_empty()
            || !self.is_poison_query(query) && self.may_repeat(query, part);
        let can_send = part.has_attempts_left(self.batch.settings.max_attempts) && may_send;
        can_send && !self.fleet.holders(part.shard()).is_empty()
    }

    /// Returns whether the query is a poison query: one that seems to crash each server that
    /// runs it, so that it must not be retried.
    ///
    /// Counts the query's attempts that lost their connection to a server that has been
    /// unresponsive since. A server that has served an attempt since the loss is up, so the
    /// query did not crash it. The query is a poison query if the count reaches
    /// [`POISON_LOST_CONNECTIONS`] and exceeds the number of parts that were served.
    pub(crate) fn is_poison_query(&self, query: &InFlightQuery) -> bool {
        let is_server_down = |attempt: &Attempt| {
            let server = self.fleet.server(attempt.server());
            server.health().is_unresponsive()
        };
        let may_be_crash =
            |attempt: &&Attempt| attempt.lost_connection() && is_server_down(attempt);
        let crashes = query.attempts().filter(may_be_crash).count();
        crashes >= POISON_LOST_CONNECTIONS && crashes > query.served_parts()
    }

    /// Returns whether the last attempt of a part is overdue: older than its forecast latency
    /// and older than [`MIN_OVERDUE_OBJECTIVES`] times the objective of the current step.
    ///
    /// The statistics of a server use a higher limit: there an attempt is overdue only once its age
    /// exceeds [`OVERDUE_FORECAST_FACTOR`] times its forecast latency. A second attempt has further
    /// conditions, see [`RetryPolicy::hedge_decision`].
    pub(crate) fn is_overdue(&self, query: &InFlightQuery, part: &PartState) -> bool {
        let min_age = MIN_OVERDUE_OBJECTIVES * self.limits.step_objective(query);
        part.last_attempt_age(self.batch.now) > part.last_expected_latency().max(min_age)
    }

    /// Returns whether the retry of a part must wait before it is sent to `server`, which the
    /// server selection has chosen.
    ///
    /// An overloaded server is chosen only if no holder that the retry could go to is eligible.
    /// It would reject an immediate retry too, so the retry waits, and longer with each attempt
    /// that the part has had.
    pub(crate) fn must_wait_for_capacity(&self, part: &PartState, server: ServerIndex) -> bool {
        let now = self.batch.now;
        let wait = capacity_wait(self.batch.shortest_objective(), part.attempts().len());
        let is_overloaded = self.fleet.server(server).outliers().is_overloaded(now);
        part.last_attempt_age(now) < wait && is_overloaded
    }

    /// Decides about the overdue attempt of a part. `forecast` is the forecast latency of a
    /// hedged request that is sent now.
    pub(crate) fn hedge_decision(
        &self,
        query: &InFlightQuery,
        part: &PartState,
        forecast: Ms,
    ) -> HedgeDecision {
        let is_in_time = self.batch.now + forecast <= self.limits.useful_until(query);
        if !is_in_time || !self.is_late_enough(part, forecast) {
            HedgeDecision::Wait
        } else if self.batch.settings.hedging {
            HedgeDecision::Send
        } else if self.may_cancel_overdue(query, part, forecast) {
            HedgeDecision::CancelAndRetry
        } else {
            HedgeDecision::Wait
        }
    }

    /// Returns [`NextAttempt::First`] if a part that was never sent needs its first attempt now,
    /// and [`NextAttempt::None`] otherwise. The answer can be complete without the deferred parts,
    /// so they are sent only once the last attempt for another part of the query is overdue, or has
    /// ended and that part was not served.
    fn first_attempt(&self, query: &InFlightQuery, part: &PartState) -> NextAttempt {
        let needs_retry = |part: &PartState| self.needs_retry(query, part);
        if part.is_deferred() && !query.parts().iter().any(needs_retry) {
            NextAttempt::None
        } else {
            NextAttempt::First
        }
    }

    /// Returns whether a part was sent but not served, and its last attempt is overdue or has
    /// ended.
    fn needs_retry(&self, query: &InFlightQuery, part: &PartState) -> bool {
        !part.is_served() && (self.is_overdue(query, part) || part.has_last_attempt_ended())
    }

    /// Returns whether another attempt of a part may be sent. This is so if both conditions
    /// hold:
    ///
    /// - No attempt of the part is in flight. Where hedging or cancellation is allowed, one attempt
    ///   may be in flight.
    /// - It is safe to execute the part again. In an idempotent class it always is. In other
    ///   classes it is safe if no earlier attempt may have run. With idempotency keys it is
    ///   also safe until the window ends in which servers deduplicate repeats of the first
    ///   attempt that may have run.
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

    /// Returns whether the last attempt of a part is late enough for a second one: by more than
    /// [`HEDGE_LATENESS_FACTOR`] times `forecast`, the forecast latency of a hedged request. The
    /// lateness counts from the shorter of the two forecasts, so that a long forecast for an
    /// attempt at a slow server does not delay the hedged request.
    fn is_late_enough(&self, part: &PartState, forecast: Ms) -> bool {
        let expected = part.last_expected_latency().min(forecast);
        part.last_attempt_age(self.batch.now) > expected + HEDGE_LATENESS_FACTOR * forecast
    }

    /// Returns whether to cancel the overdue attempt of a part so that a retry can replace it. This
    /// concerns settings that allow cancellation but not hedging, where the retry is sent only
    /// after the overdue attempt has ended. If the settings allow neither, no second attempt is
    /// considered while one is in flight, see [`RetryPolicy::may_repeat`].
    ///
    /// The work that the server has done for an attempt is wasted when the attempt is cancelled. If
    /// the attempt is not lost but only slow, that is most of its work. So the attempt must be old,
    /// and `forecast`, the forecast latency of the retry, must be short.
    fn may_cancel_overdue(&self, query: &InFlightQuery, part: &PartState, forecast: Ms) -> bool {
        let objective = self.batch.objective(query);
        let overdue_age = OVERDUE_FORECAST_FACTOR * part.last_expected_latency();
        let min_age = overdue_age.min(CANCEL_AGE_OBJECTIVES * objective);
        part.last_attempt_age(self.batch.now) > min_age
            && forecast <= MAX_CANCEL_FORECAST_OBJECTIVES * objective
    }
}
