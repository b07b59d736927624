//! The log of the attempts that the data servers of a fleet received, and the check of the rules
//! that a broker must follow when it sends attempts.

mod invariants;
#[cfg(test)]
mod tests;
mod violation;

pub use invariants::AttemptLimits;
pub use violation::{AttemptSubject, Violation};

use invariants::check_attempts;
use std::time::{Duration, Instant};

/// Maximum number of attempts in the log. It bounds the memory, because a long benchmark sends
/// millions of attempts.
const MAX_LOGGED_ATTEMPTS: usize = 200_000;

/// Minimum tolerance of a comparison of two times, as a multiple of the largest lag of the fleet's
/// thread. The factor is 2 because the broker runs on the same machine and may lag as much as the
/// fleet's thread.
const LAG_TOLERANCE_FACTOR: u32 = 2;

/// How an attempt ended at its data server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server finished the part: it sent a response (a value, an error or a rejection), or an
    /// injected fault replaced the response.
    Answered,
    /// The broker cancelled the attempt, or the connection ended while it was in flight.
    Cancelled,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// How the attempt ended.
    pub outcome: AttemptOutcome,
    /// When the attempt ended.
    pub at: Instant,
}

/// One attempt, as recorded by the data server that received it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Name of the data server.
    pub server: String,
    /// Id of the part.
    pub part_id: String,
    /// Index of the shard that the part reads.
    pub shard: usize,
    /// Idempotency key of the part's query, if the query has one.
    pub idempotency_key: Option<String>,
    /// When the server decoded the call that contains the attempt.
    pub received_at: Instant,
    /// When the drain of the server was published. `None` if the server was not draining when the
    /// attempt arrived.
    pub draining_since: Option<Instant>,
    /// Whether the server executes the part. `false` for an attempt that the server rejects.
    pub executed: bool,
    /// End of the attempt; `None` while it is in flight.
    pub end: Option<AttemptEnd>,
}

/// Index of an attempt among all attempts that the data servers received, in order of arrival. It
/// is also the attempt's index in the [`AttemptLog`], unless the log was already full.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptNumber(u64);

/// Numbers of parts and calls that the data servers received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReceivedCounts {
    /// Number of attempts, including those that the full log does not contain.
    pub parts: u64,
    /// Number of calls. Each call carries one or more parts.
    pub calls: u64,
}

/// The attempts that the data servers of a fleet received, in order of arrival. The log keeps a
/// limited number of attempts and only counts later ones.
#[derive(Debug, Default)]
pub struct AttemptLog {
    attempts: Vec<Attempt>,
    counts: ReceivedCounts,
    /// Largest recorded lag of the fleet's thread. Logged times may be late by up to this much.
    max_lag: Duration,
}

impl AttemptLog {
    /// Counts a call.
    pub(crate) fn record_call(&mut self) {
        self.counts.calls += 1;
    }

    /// Records an attempt and returns its index. Once the log is full, the attempt is only counted.
    pub(crate) fn record_attempt(&mut self, attempt: Attempt) -> AttemptNumber {
        let number = AttemptNumber(self.counts.parts);
        self.counts.parts += 1;
        if self.attempts.len() < MAX_LOGGED_ATTEMPTS {
            self.attempts.push(attempt);
        }
        number
    }

    /// Records the end of an attempt. Has no effect if an end is already recorded, or if the log
    /// does not contain the attempt.
    pub(crate) fn record_end(
        &mut self,
        number: AttemptNumber,
        outcome: AttemptOutcome,
        at: Instant,
    ) {
        if let Some(attempt) = self.attempts.get_mut(number.0 as usize) {
            attempt.end.get_or_insert(AttemptEnd { outcome, at });
        }
    }

    /// Records a lag of the fleet's thread: the time by which one of its timers fired late, as
    /// happens on a busy machine.
    pub(crate) fn record_lag(&mut self, lag: Duration) {
        self.max_lag = self.max_lag.max(lag);
    }

    /// Returns the numbers of parts and calls that the data servers received.
    #[must_use]
    pub fn counts(&self) -> ReceivedCounts {
        self.counts
    }

    /// Returns the logged attempts, in order of arrival.
    #[must_use]
    pub fn attempts(&self) -> &[Attempt] {
        &self.attempts
    }

    /// Checks the logged attempts against the rules that a broker must follow, and returns each
    /// violation. A log that does not contain all attempts is a violation too. The tolerance of
    /// times is [`AttemptLimits::clock_tolerance`], or twice the largest recorded lag if that is
    /// longer.
    #[must_use]
    pub fn check_invariants(&self, limits: AttemptLimits) -> Vec<Violation> {
        let clock_tolerance = limits
            .clock_tolerance
            .max(LAG_TOLERANCE_FACTOR * self.max_lag);
        let limits = AttemptLimits {
            clock_tolerance,
            ..limits
        };
        let mut violations = Vec::new();
        violations.extend(self.check_completeness());
        violations.extend(check_attempts(&self.attempts, limits));
        violations
    }

    /// Returns a violation if attempts arrived that the log does not contain.
    fn check_completeness(&self) -> Option<Violation> {
        let logged = self.attempts.len();
        let received = self.counts.parts;
        (received > logged as u64).then_some(Violation::IncompleteLog { logged, received })
    }
}
