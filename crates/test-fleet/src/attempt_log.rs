//! The attempts that the data servers of a fleet received, and the rules that a broker has to keep
//! when it sends them.

mod invariants;
#[cfg(test)]
mod tests;
mod violation;

pub use invariants::AttemptLimits;
pub use violation::{AttemptSubject, Violation};

use invariants::check_attempts;
use std::time::{Duration, Instant};

/// Largest number of attempts that are logged one by one; a benchmark that runs for long sends
/// millions.
const MAX_LOGGED_ATTEMPTS: usize = 200_000;

/// Tolerated difference between two moments, in multiples of the lag of the fleet's thread: its own
/// lag, and as much of the broker's, which runs on the same machine.
const LAG_TOLERANCE_FACTOR: u32 = 2;

/// How an attempt ended at its data server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The server answered it, with or without a value, or rejected it.
    Answered,
    /// The broker cancelled it, or its connection ended.
    Cancelled,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptEnd {
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// When it ended.
    pub at: Instant,
}

/// One attempt, as its data server saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The server's name.
    pub server: String,
    /// The id of the part.
    pub part_id: String,
    /// The shard that the part queries.
    pub shard: usize,
    /// The idempotency key of the part's query, if it has one.
    pub idempotency_key: Option<String>,
    /// When the last byte of its frame arrived.
    pub received_at: Instant,
    /// When the server's drain was published, if that was before the attempt arrived.
    pub draining_since: Option<Instant>,
    /// Whether the server executed it; a rejected attempt is never executed.
    pub executed: bool,
    /// Its end; `None` while it is in flight.
    pub end: Option<AttemptEnd>,
}

/// The place of an attempt in its [`AttemptLog`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptNumber(u64);

/// How much the data servers received.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ReceivedCounts {
    /// Attempts at parts, including those that are no longer logged one by one.
    pub parts: u64,
    /// Calls, each of which carries one part or more.
    pub calls: u64,
}

/// Every attempt that the data servers received, in order of arrival. Its size is bounded.
#[derive(Debug, Default)]
pub struct AttemptLog {
    attempts: Vec<Attempt>,
    counts: ReceivedCounts,
    /// The largest delay with which the fleet's thread ran; the logged moments are late by up to as
    /// much.
    max_lag: Duration,
}

impl AttemptLog {
    /// Counts a call.
    pub(crate) fn record_call(&mut self) {
        self.counts.calls += 1;
    }

    /// Records an attempt. Once the log is full, attempts are only counted.
    pub(crate) fn record_attempt(&mut self, attempt: Attempt) -> AttemptNumber {
        let number = AttemptNumber(self.counts.parts);
        self.counts.parts += 1;
        if self.attempts.len() < MAX_LOGGED_ATTEMPTS {
            self.attempts.push(attempt);
        }
        number
    }

    /// Records the end of an attempt. Only its first end counts.
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

    /// Records a delay with which the fleet's thread ran, as it does on a busy machine.
    pub(crate) fn record_lag(&mut self, lag: Duration) {
        self.max_lag = self.max_lag.max(lag);
    }

    /// Number of parts and calls that arrived.
    #[must_use]
    pub fn counts(&self) -> ReceivedCounts {
        self.counts
    }

    /// The logged attempts, in order of arrival.
    #[must_use]
    pub fn attempts(&self) -> &[Attempt] {
        &self.attempts
    }

    /// Checks the rules of the protocol over all logged attempts and returns each violation. The
    /// tolerance is that of the limits, or twice the largest recorded lag if that is longer.
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

    /// Whether attempts arrived that are not logged.
    fn check_completeness(&self) -> Option<Violation> {
        let logged = self.attempts.len();
        let received = self.counts.parts;
        (received > logged as u64).then_some(Violation::IncompleteLog { logged, received })
    }
}
