//! Interprets the end of one attempt: whether the attempt was overdue, and what its outcome says
//! about the health of its server.
//!
//! [`EndedAttempt`] is created before any statistics are updated with the outcome, and is passed
//! to the components that update theirs. It is not stored.

use super::batch_context::BatchContext;
use super::batch_timer::BatchTiming;
use super::smoothing::{SAMPLE_WEIGHT, STRONG_SAMPLE_WEIGHT};
use super::zone_silence::Response;
use crate::api::{Ms, Outcome};
use crate::queries::InFlightAttempt;

/// An attempt is overdue once its age exceeds this multiple of its forecast latency. With a smaller
/// multiple, attempts that only wait in a queue would count as overdue: a second attempt would
/// double their work, and the wait would count against the health of the server.
pub(crate) const OVERDUE_FORECAST_FACTOR: f64 = 3.0;
/// Minimum age of an overdue attempt, in latency objectives. For the health of a server this is the
/// shortest latency objective, for a hedged request the objective of the query's current step.
pub(crate) const MIN_OVERDUE_OBJECTIVES: f64 = 0.25;

/// What the end of an attempt indicates about the health of its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HealthSignal {
    /// The end of the attempt indicates nothing.
    None,
    /// The server answered.
    Answer,
    /// The server rejected the part for lack of capacity.
    Overload,
    /// No answer came in time, and the server has answered no attempt that was sent at the same
    /// time or later.
    Timeout,
    /// No answer came in time, but the server has answered an attempt that was sent at the same
    /// time or later. This happens after a server has stalled: the attempts sent before or during
    /// the stall still time out when the server answers again.
    OutdatedTimeout,
    /// The server returned an error, the connection could not be made or was lost, or the attempt
    /// was cancelled when it was overdue and the server had answered no attempt that was sent at
    /// the same time or later. This indicates nothing about the load of the server: a server that
    /// returns errors may do so quickly.
    Failure,
}

/// An attempt that has ended, with what its end indicates.
pub(crate) struct EndedAttempt<'a> {
    attempt: &'a InFlightAttempt,
    outcome: Outcome,
    elapsed: Ms,
    timing: BatchTiming,
    is_overdue: bool,
    /// Whether the server has answered no attempt that was sent at the same time as this one or
    /// later.
    has_no_later_answer: bool,
}

impl<'a> EndedAttempt<'a> {
    /// Interprets how an attempt ended. `last_served_sent_at` is the send time of the newest
    /// attempt that its server has served.
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
            has_no_later_answer: attempt.sent_at > last_served_sent_at,
        }
    }

    /// Returns the attempt.
    pub(crate) fn attempt(&self) -> &'a InFlightAttempt {
        self.attempt
    }

    /// Returns the outcome of the attempt.
    pub(crate) fn outcome(&self) -> Outcome {
        self.outcome
    }

    /// Returns the time from the sending of the attempt to its end.
    pub(crate) fn elapsed(&self) -> Ms {
        self.elapsed
    }

    /// Returns whether the attempt took much longer than forecast. The forecast includes the
    /// work that is outstanding at the server, so load alone does not make an attempt overdue.
    /// `false` if a pause of this aggregator makes the elapsed time unreliable.
    pub(crate) fn is_overdue(&self) -> bool {
        self.is_overdue
    }

    /// Returns what the end of the attempt indicates about the health of its server.
    pub(crate) fn health_signal(&self) -> HealthSignal {
        match self.outcome {
            Outcome::NotSent => HealthSignal::None,
            Outcome::TimedOut if self.timing == BatchTiming::AfterPause => HealthSignal::None,
            Outcome::Cancelled if !self.is_overdue_without_later_answer() => HealthSignal::None,
            Outcome::Served => HealthSignal::Answer,
            Outcome::Overloaded => HealthSignal::Overload,
            Outcome::TimedOut if self.has_no_later_answer => HealthSignal::Timeout,
            Outcome::TimedOut => HealthSignal::OutdatedTimeout,
            Outcome::Error
            | Outcome::Cancelled
            | Outcome::Unreachable
            | Outcome::ConnectionLost => HealthSignal::Failure,
        }
    }

    /// Returns how the attempt counts in the share of unanswered attempts of its server's zone, or
    /// `None` if it does not count there. An answer counts as a response. Timeouts, connections
    /// that could not be made or were lost, and cancellations that count as a failure of the server
    /// count as missing responses. Other outcomes do not count, and neither do attempts whose end
    /// is reported after a pause of this aggregator.
    pub(crate) fn response(&self) -> Option<Response> {
        if self.timing == BatchTiming::AfterPause {
            return None;
        }
        match self.outcome {
            Outcome::TimedOut | Outcome::Unreachable | Outcome::ConnectionLost => {
                Some(Response::Missing)
            }
            Outcome::Cancelled if self.is_overdue_without_later_answer() => Some(Response::Missing),
            Outcome::Served => Some(Response::Received),
            _ => None,
        }
    }

    /// Returns the time that the answer took. After a pause of this aggregator the elapsed time
    /// may include the pause, so it is limited to the forecast latency.
    pub(crate) fn answer_time(&self) -> Ms {
        match self.timing {
            BatchTiming::OnTime => self.elapsed,
            BatchTiming::AfterPause => self.elapsed.min(self.attempt.expected_latency),
        }
    }

    /// Returns the weight of the answer time as a sample in the moving average of the server's
    /// latency. An answer that took much longer than forecast has a larger weight.
    pub(crate) fn answer_weight(&self) -> f64 {
        if self.answer_time() > OVERDUE_FORECAST_FACTOR * self.attempt.expected_latency {
            STRONG_SAMPLE_WEIGHT
        } else {
            SAMPLE_WEIGHT
        }
    }

    /// Returns whether the attempt was overdue and the server has answered no attempt that was sent
    /// at the same time or later. If such an attempt is cancelled, it counts as a failure of the
    /// server whatever the cause, for example that a hedged request was answered first.
    fn is_overdue_without_later_answer(&self) -> bool {
        self.is_overdue && self.has_no_later_answer
    }
}

/// The end of an attempt, as the caller reports it.
#[derive(Clone, Copy)]
pub(crate) struct AttemptEnd {
    outcome: Outcome,
    elapsed: Ms,
    timing: BatchTiming,
}

impl AttemptEnd {
    /// Creates the report that an attempt ended with `outcome` after the time `elapsed`.
    /// `timing` states whether this aggregator was paused before the current batch.
    pub(crate) fn new(outcome: Outcome, elapsed: Ms, timing: BatchTiming) -> Self {
        AttemptEnd {
            outcome,
            elapsed,
            timing,
        }
    }

    /// Returns the reported elapsed time, or 0 if that is negative. If the reported time is not
    /// finite, returns the time since the attempt was sent.
    fn valid_elapsed(&self, now: Ms, sent_at: Ms) -> Ms {
        if self.elapsed.is_finite() {
            self.elapsed.max(0.0)
        } else {
            now - sent_at
        }
    }
}
