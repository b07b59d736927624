//! Health of a server, derived from the outcomes of the attempts sent to it.
//!
//! [`ServerHealth`] owns the error rates of one server, its number of consecutive failures, and
//! whether it is unresponsive.

use super::ended_attempt::EndedAttempt;
use super::smoothing::{DECAY_SHARE, SAMPLE_WEIGHT, STRONG_SAMPLE_WEIGHT};
use crate::api::{Ms, Outcome};
use crate::queries::InFlightAttempt;
use crate::statistics::{decay, smooth};
use std::collections::BTreeMap;

/// Error rate above which a suspect server counts as failing.
const FAILING_ERROR_RATE: f64 = 0.45;
/// Number of consecutive failures from which a server is suspect: it then receives one attempt at a
/// time, and counts as failing if its error rate is above [`FAILING_ERROR_RATE`] as well.
const FAILING_CONSECUTIVE_FAILURES: u32 = 2;
/// Tolerance in the decision whether a server is up when an attempt has lost its connection, in
/// multiples of the shortest latency objective. The server is considered up if it has answered an
/// attempt that was sent later than the failed one, or that was sent earlier by less than this
/// tolerance. The lost connection then says little about the server.
const RECENT_ANSWER_OBJECTIVES: f64 = 0.25;
/// An unresponsive server that answers again is assumed to have restarted if the answered attempt
/// was sent later than the newest attempt served before by more than this time, in multiples of the
/// shortest latency objective.
const RESTART_SILENCE_OBJECTIVES: f64 = 2.5;

/// State of a server after a failed attempt, on which its ejection depends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum FailureVerdict {
    /// There is no reason to eject the server: not enough attempts have failed in a row, or the
    /// error rate is not high enough.
    Tolerable,
    /// Several attempts in a row have failed, and the error rate is high.
    Failing,
    /// The connection could not be made, or it was lost and no recent answer shows that the
    /// server is up.
    Unreachable,
}

/// Whether a server that answers may have restarted since its previous answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RestartVerdict {
    /// Nothing indicates a restart.
    StillRunning,
    /// The server was unresponsive, and no attempt was answered for so long that the server may
    /// have restarted.
    PossiblyRestarted,
}

/// Health of a server with regard to one class.
#[derive(Default)]
struct ClassHealth {
    /// Moving average of the share of failed attempts of the class.
    error_rate: f64,
    /// Send time of the newest attempt of the class that was served; 0 before the first one.
    last_served_sent_at: Ms,
}

/// Health of one server.
pub(crate) struct ServerHealth {
    /// Moving average of the share of failed attempts.
    error_rate: f64,
    /// Number of attempts that have failed since the last one that was served.
    consecutive_failures: u32,
    /// Send time of the newest attempt that was served; negative infinity before the first one.
    last_served_sent_at: Ms,
    /// Whether an attempt timed out or found the server unreachable, and none has been served
    /// since.
    is_unresponsive: bool,
    /// Health by index of the class.
    by_class: BTreeMap<usize, ClassHealth>,
}

impl ServerHealth {
    /// Creates the state of a server without failures.
    pub(crate) fn new() -> Self {
        ServerHealth {
            error_rate: 0.0,
            consecutive_failures: 0,
            last_served_sent_at: f64::NEG_INFINITY,
            is_unresponsive: false,
            by_class: BTreeMap::new(),
        }
    }

    /// Returns the moving average of the share of failed attempts.
    pub(crate) fn error_rate(&self) -> f64 {
        self.error_rate
    }

    /// Returns the moving average of the share of failed attempts of a class; 0 without any
    /// ended attempt of that class.
    pub(crate) fn class_error_rate(&self, class: usize) -> f64 {
        self.by_class
            .get(&class)
            .map_or(0.0, |health| health.error_rate)
    }

    /// Returns the send time of the newest attempt that was served; negative infinity if none
    /// was.
    pub(crate) fn last_served_sent_at(&self) -> Ms {
        self.last_served_sent_at
    }

    /// Returns whether an attempt timed out or found the server unreachable, and none has been
    /// served since.
    pub(crate) fn is_unresponsive(&self) -> bool {
        self.is_unresponsive
    }

    /// Returns whether so many consecutive attempts have failed that further ones are sent one at
    /// a time.
    pub(crate) fn is_suspect(&self) -> bool {
        self.consecutive_failures >= FAILING_CONSECUTIVE_FAILURES
    }

    /// Updates the error rate of the attempt's class. An attempt counts as failed if it ended in
    /// an error. It also counts as failed if it was overdue and not served, and no attempt of
    /// its class that was sent at the same time or later has been served.
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

    /// Records an attempt that was served, and returns whether the server may have restarted
    /// since the previous answer.
    pub(crate) fn record_answer(
        &mut self,
        attempt: &InFlightAttempt,
        shortest_objective: Ms,
    ) -> RestartVerdict {
        let silence = attempt.sent_at - self.last_served_sent_at;
        let is_restart =
            self.is_unresponsive && silence > RESTART_SILENCE_OBJECTIVES * shortest_objective;
        decay(&mut self.error_rate, SAMPLE_WEIGHT);
        self.last_served_sent_at = self.last_served_sent_at.max(attempt.sent_at);
        self.consecutive_failures = 0;
        self.is_unresponsive = false;
        if is_restart {
            RestartVerdict::PossiblyRestarted
        } else {
            RestartVerdict::StillRunning
        }
    }

    /// Records an attempt that failed, and returns the resulting state of the server.
    pub(crate) fn record_failure(
        &mut self,
        ended: &EndedAttempt,
        shortest_objective: Ms,
    ) -> FailureVerdict {
        let outcome = ended.outcome();
        smooth(&mut self.error_rate, SAMPLE_WEIGHT, 1.0);
        self.consecutive_failures += 1;
        // A lost connection alone does not show that the server is down: if the server has
        // answered an attempt that was sent later or shortly before, it is up.
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

    /// Moves the error rate of the server towards zero by one control interval's share.
    pub(crate) fn decay_error_rate(&mut self) {
        decay(&mut self.error_rate, DECAY_SHARE);
    }

    /// Moves the error rates of all classes towards zero by one control interval's share.
    pub(crate) fn decay_class_error_rates(&mut self) {
        for health in self.by_class.values_mut() {
            decay(&mut health.error_rate, DECAY_SHARE);
        }
    }
}
