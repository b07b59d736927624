//! What the end of an attempt says before any statistics: whether it was overdue, and what
//! it says about the health of its server.
//!
//! [`EndedAttempt`] lives while the components learn from it.

use super::batch_context::BatchContext;
use super::batch_timer::BatchTiming;
use super::smoothing::{SAMPLE_WEIGHT, STRONG_SAMPLE_WEIGHT};
use super::zone_silence::Response;
use crate::api::{Ms, Outcome};
use crate::queries::InFlightAttempt;

/// An attempt is overdue after this multiple of its forecast: earlier hedges double work that
/// only waits.
pub(crate) const OVERDUE_FORECAST_FACTOR: f64 = 3.0;
/// Least age of an overdue attempt, in latency objectives.
pub(crate) const MIN_OVERDUE_OBJECTIVES: f64 = 0.25;

/// What the end of an attempt says about the health of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthSignal {
    /// Nothing.
    None,
    /// The server answered.
    Answer,
    /// The server rejected the part for lack of capacity.
    Overload,
    /// No answer came in time, nor to any attempt sent later.
    Timeout,
    /// No answer came in time, but an attempt sent later was answered: the backlog of a
    /// stall times out long after the stall.
    OutdatedTimeout,
    /// The attempt failed. Quick errors say nothing about the load of the server.
    Failure,
}

/// An attempt that has ended.
pub(crate) struct EndedAttempt<'a> {
    attempt: &'a InFlightAttempt,
    outcome: Outcome,
    elapsed: Ms,
    timing: BatchTiming,
    is_overdue: bool,
    /// Whether the server answered no attempt that was sent later.
    is_newest: bool,
}

impl<'a> EndedAttempt<'a> {
    /// An attempt that has ended so. The server answered no attempt sent after
    /// `last_served_sent_at`.
    pub(crate) fn new(
        batch: &BatchContext,
        attempt: &'a InFlightAttempt,
        end: AttemptEnd,
        last_served_sent_at: Ms,
    ) -> Self {
        let elapsed = end.valid_elapsed(batch.now, attempt.sent_at);
        let min_age = MIN_OVERDUE_OBJECTIVES * batch.shortest_objective();
        let overdue_age = (OVERDUE_FORECAST_FACTOR * attempt.expected_latency).max(min_age);
        EndedAttempt {
            attempt,
            outcome: end.outcome,
            elapsed,
            timing: end.timing,
            is_overdue: end.timing == BatchTiming::OnTime && elapsed > overdue_age,
            is_newest: attempt.sent_at > last_served_sent_at,
        }
    }

    /// The attempt.
    pub(crate) fn attempt(&self) -> &'a InFlightAttempt {
        self.attempt
    }

    /// How it ended.
    pub(crate) fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Time since it was sent.
    pub(crate) fn elapsed(&self) -> Ms {
        self.elapsed
    }

    /// Whether it took much longer than forecast. The forecast grows with load, so that
    /// load alone does not make an attempt overdue.
    pub(crate) fn is_overdue(&self) -> bool {
        self.is_overdue
    }

    /// What it says about the health of its server.
    pub(crate) fn health_signal(&self) -> HealthSignal {
        match self.outcome {
            Outcome::NotSent => HealthSignal::None,
            Outcome::TimedOut if self.timing == BatchTiming::AfterPause => HealthSignal::None,
            Outcome::Cancelled if !self.is_silent() => HealthSignal::None,
            Outcome::Served => HealthSignal::Answer,
            Outcome::Overloaded => HealthSignal::Overload,
            Outcome::TimedOut if self.is_newest => HealthSignal::Timeout,
            Outcome::TimedOut => HealthSignal::OutdatedTimeout,
            Outcome::Error
            | Outcome::Cancelled
            | Outcome::Unreachable
            | Outcome::ConnectionLost => HealthSignal::Failure,
        }
    }

    /// Whether the server responded; `None` if the attempt does not show it.
    pub(crate) fn response(&self) -> Option<Response> {
        if self.timing == BatchTiming::AfterPause {
            return None;
        }
        match self.outcome {
            Outcome::TimedOut | Outcome::Unreachable | Outcome::ConnectionLost => {
                Some(Response::Missing)
            }
            Outcome::Cancelled if self.is_silent() => Some(Response::Missing),
            Outcome::Served => Some(Response::Received),
            _ => None,
        }
    }

    /// Time that the answer took, without a pause of this aggregator.
    pub(crate) fn answer_time(&self) -> Ms {
        match self.timing {
            BatchTiming::OnTime => self.elapsed,
            BatchTiming::AfterPause => self.elapsed.min(self.attempt.expected_latency),
        }
    }

    /// Weight of the answer in the average of latencies.
    pub(crate) fn answer_weight(&self) -> f64 {
        if self.answer_time() > OVERDUE_FORECAST_FACTOR * self.attempt.expected_latency {
            STRONG_SAMPLE_WEIGHT
        } else {
            SAMPLE_WEIGHT
        }
    }

    /// Whether it was overdue and nothing sent later was answered. That is a failure, even
    /// if a hedged request was faster and this attempt was cancelled.
    fn is_silent(&self) -> bool {
        self.is_overdue && self.is_newest
    }
}

/// How an attempt ended, as the caller reports it.
#[derive(Clone, Copy)]
pub(crate) struct AttemptEnd {
    outcome: Outcome,
    elapsed: Ms,
    timing: BatchTiming,
}

impl AttemptEnd {
    /// An end with this outcome after this time, in which the aggregator was paused or not.
    pub(crate) fn new(outcome: Outcome, elapsed: Ms, timing: BatchTiming) -> Self {
        AttemptEnd {
            outcome,
            elapsed,
            timing,
        }
    }

    /// The reported time if it is a number, or else the time since the attempt was sent.
    fn valid_elapsed(&self, now: Ms, sent_at: Ms) -> Ms {
        if self.elapsed.is_finite() {
            self.elapsed.max(0.0)
        } else {
            now - sent_at
        }
    }
}
