//! What the outcomes of attempts say about the health of a server.
//!
//! [`ServerHealth`] owns the error rates and consecutive failures of one server.

use super::ended_attempt::EndedAttempt;
use super::smoothing::{DECAY_SHARE, SAMPLE_WEIGHT, STRONG_SAMPLE_WEIGHT};
use crate::api::{Ms, Outcome};
use crate::queries::InFlightAttempt;
use crate::statistics::{decay, smooth};
use std::collections::BTreeMap;

/// Error rate above which a server counts as failing.
const FAILING_ERROR_RATE: f64 = 0.45;
/// Consecutive failures from which a server counts as failing.
const FAILING_CONSECUTIVE_FAILURES: u32 = 2;
/// A lost connection does not count after an answer to an attempt sent this much earlier, in
/// shortest latency objectives.
const RECENT_ANSWER_OBJECTIVES: f64 = 0.25;
/// Silence after which an unresponsive server that answers is assumed to have restarted, in
/// shortest latency objectives.
const RESTART_SILENCE_OBJECTIVES: f64 = 2.5;

/// What a failed attempt shows about its server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureVerdict {
    /// The server may be healthy.
    Tolerable,
    /// Too many attempts fail there.
    Failing,
    /// No connection to it could be made or kept.
    Unreachable,
}

/// Whether a server that answers seems to have run since its last answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Continuity {
    /// It has.
    Running,
    /// It was silent for so long that it may have restarted.
    PossiblyRestarted,
}

/// Outcomes of one class at a server.
#[derive(Default)]
struct ClassHealth {
    /// Share of failed attempts, smoothed.
    error_rate: f64,
    /// Send time of the newest attempt that was served.
    last_served_sent_at: Ms,
}

/// Health of one server.
pub(crate) struct ServerHealth {
    /// Share of failed attempts, smoothed.
    error_rate: f64,
    /// Failed attempts since the last one that was served.
    consecutive_failures: u32,
    /// Send time of the newest attempt that was served.
    last_served_sent_at: Ms,
    /// Whether an attempt timed out or its connection failed, and none has been served since.
    is_unresponsive: bool,
    /// Outcomes by class.
    by_class: BTreeMap<usize, ClassHealth>,
}

impl ServerHealth {
    /// A server without failures.
    pub(crate) fn new() -> Self {
        ServerHealth {
            error_rate: 0.0,
            consecutive_failures: 0,
            last_served_sent_at: f64::NEG_INFINITY,
            is_unresponsive: false,
            by_class: BTreeMap::new(),
        }
    }

    /// Share of failed attempts, smoothed.
    pub(crate) fn error_rate(&self) -> f64 {
        self.error_rate
    }

    /// Share of failed attempts of a class, smoothed.
    pub(crate) fn class_error_rate(&self, class: usize) -> f64 {
        self.by_class
            .get(&class)
            .map_or(0.0, |health| health.error_rate)
    }

    /// Send time of the newest attempt that was served.
    pub(crate) fn last_served_sent_at(&self) -> Ms {
        self.last_served_sent_at
    }

    /// Whether an attempt timed out or its connection failed, and none has been served since.
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.is_unresponsive
    }

    /// Whether so many attempts in a row have failed that further ones are sent one at a time.
    pub(crate) fn is_suspect(&self) -> bool {
        self.consecutive_failures >= FAILING_CONSECUTIVE_FAILURES
    }

    /// Updates the error rate of the attempt's class. An overdue attempt counts as failed
    /// if none of its class that was sent later has been served.
    pub(crate) fn record_class_outcome(&mut self, ended: &EndedAttempt) {
        let attempt = ended.attempt();
        let health = self.by_class.entry(attempt.class).or_default();
        let is_lost = ended.is_overdue() && attempt.sent_at > health.last_served_sent_at;
        if ended.outcome() == Outcome::Served {
            decay(&mut health.error_rate, STRONG_SAMPLE_WEIGHT);
            health.last_served_sent_at = health.last_served_sent_at.max(attempt.sent_at);
        } else if is_lost || ended.outcome() == Outcome::Error {
            smooth(&mut health.error_rate, STRONG_SAMPLE_WEIGHT, 1.0);
        }
    }

    /// Learns from an attempt that was served.
    pub(crate) fn record_answer(
        &mut self,
        attempt: &InFlightAttempt,
        shortest_objective: Ms,
    ) -> Continuity {
        let silence = attempt.sent_at - self.last_served_sent_at;
        let is_restart =
            self.is_unresponsive && silence > RESTART_SILENCE_OBJECTIVES * shortest_objective;
        decay(&mut self.error_rate, SAMPLE_WEIGHT);
        self.last_served_sent_at = self.last_served_sent_at.max(attempt.sent_at);
        self.consecutive_failures = 0;
        self.is_unresponsive = false;
        if is_restart {
            Continuity::PossiblyRestarted
        } else {
            Continuity::Running
        }
    }

    /// Learns from an attempt that failed.
    pub(crate) fn record_failure(
        &mut self,
        ended: &EndedAttempt,
        shortest_objective: Ms,
    ) -> FailureVerdict {
        let outcome = ended.outcome();
        smooth(&mut self.error_rate, SAMPLE_WEIGHT, 1.0);
        self.consecutive_failures += 1;
        // A server that answered what was sent later, or just before, has lost a
        // connection but is up.
        let answered_until =
            self.last_served_sent_at + RECENT_ANSWER_OBJECTIVES * shortest_objective;
        let is_unreachable = match outcome {
            Outcome::Unreachable => true,
            Outcome::ConnectionLost => answered_until <= ended.attempt().sent_at,
            _ => false,
        };
        self.is_unresponsive |= is_unreachable || outcome == Outcome::TimedOut;
        if is_unreachable {
            FailureVerdict::Unreachable
        } else if self.is_suspect() && self.error_rate > FAILING_ERROR_RATE {
            FailureVerdict::Failing
        } else {
            FailureVerdict::Tolerable
        }
    }

    /// Lets the error rate of the server return to zero.
    pub(crate) fn decay_error_rate(&mut self) {
        decay(&mut self.error_rate, DECAY_SHARE);
    }

    /// Lets the error rates of all classes return to zero.
    pub(crate) fn decay_class_error_rates(&mut self) {
        for health in self.by_class.values_mut() {
            decay(&mut health.error_rate, DECAY_SHARE);
        }
    }
}
