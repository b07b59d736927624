//! The attempts that the data servers of a fleet received, and the rules that a broker has to keep when it sends them.

#[cfg(test)]
mod tests;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Largest number of attempts that are logged one by one; a benchmark that runs for long sends millions.
const MAX_LOGGED_ATTEMPTS: usize = 200_000;

/// Tolerated difference between two moments, in multiples of the lag of the fleet's thread: its own lag, and as much of
/// the broker's, which runs on the same machine.
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
    /// The shard that the part asks for.
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

/// The limits that a broker's attempts have to keep.
#[derive(Clone, Copy, Debug)]
pub struct AttemptLimits {
    /// Largest number of attempts at one part.
    pub max_attempts: usize,
    /// Time after the first executed attempt during which data servers drop repeats of the same idempotency key.
    pub deduplication_window: Duration,
    /// Time after the publication of a drain during which new attempts may still arrive.
    pub drain_grace: Duration,
    /// Tolerated difference between the moments at which the broker and the server see the same event.
    pub clock_tolerance: Duration,
}

impl Default for AttemptLimits {
    fn default() -> Self {
        AttemptLimits {
            max_attempts: 4,
            deduplication_window: Duration::from_secs(5),
            drain_grace: Duration::from_millis(250),
            clock_tolerance: Duration::from_millis(50),
        }
    }
}

/// A rule that a broker broke, or that could not be checked.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// More attempts arrived than are logged, so that the rest was not checked.
    #[error("only {logged} of {received} attempts were logged and could be checked")]
    IncompleteLog {
        /// Attempts in the log.
        logged: usize,
        /// Attempts that arrived.
        received: u64,
    },
    /// An attempt arrived after the grace period of its server's drain.
    #[error("{part_id} was sent to {server} {delay_ms} ms after its drain was published")]
    SentToDrainingServer {
        /// The part.
        part_id: String,
        /// The draining server.
        server: String,
        /// Time between the publication of the drain and the attempt, in milliseconds.
        delay_ms: u128,
    },
    /// A part was attempted more often than allowed.
    #[error("{part_id} was attempted {attempts} times")]
    TooManyAttempts {
        /// The part.
        part_id: String,
        /// Its attempts.
        attempts: usize,
    },
    /// Two attempts at the same part, or at the same shard under the same key, were in flight at the same time.
    #[error("{subject} had two attempts in flight, on {first_server} and {second_server}")]
    ConcurrentAttempts {
        /// What was attempted twice.
        subject: AttemptSubject,
        /// Server of the earlier attempt.
        first_server: String,
        /// Server of the later attempt.
        second_server: String,
    },
    /// An idempotency key was sent again after data servers stopped dropping its repeats.
    #[error("{subject} was sent again after {delay_ms} ms")]
    RepeatedAfterWindow {
        /// What was repeated.
        subject: AttemptSubject,
        /// Time since its first executed attempt, in milliseconds.
        delay_ms: u128,
    },
}

/// What attempts have in common that must not be in flight at the same time.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AttemptSubject {
    /// The same part.
    #[error("{0}")]
    Part(String),
    /// The same shard under the same idempotency key.
    #[error("shard {shard} under key {key}")]
    KeyedShard {
        /// The shard.
        shard: usize,
        /// The idempotency key.
        key: String,
    },
}

/// Every attempt that the data servers received, in order of arrival. Its size is bounded.
#[derive(Debug, Default)]
pub struct AttemptLog {
    attempts: Vec<Attempt>,
    counts: ReceivedCounts,
    /// The largest delay with which the fleet's thread ran; the logged moments are late by up to as much.
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

    /// Checks the rules of the protocol over all logged attempts and returns each violation. The tolerance of the limits
    /// holds as it is, unless twice the largest recorded lag exceeds it.
    #[must_use]
    pub fn check_invariants(&self, limits: AttemptLimits) -> Vec<Violation> {
        let limits = AttemptLimits {
            clock_tolerance: limits
                .clock_tolerance
                .max(LAG_TOLERANCE_FACTOR * self.max_lag),
            ..limits
        };
        let mut violations = Vec::new();
        violations.extend(self.check_completeness());
        violations.extend(
            self.attempts
                .iter()
                .filter_map(|attempt| check_drain(attempt, limits)),
        );
        for (part_id, attempts) in self.attempts_by_part() {
            violations.extend(check_part(part_id, &attempts, limits));
        }
        for ((key, shard), attempts) in self.attempts_by_key() {
            let key = key.to_owned();
            let subject = AttemptSubject::KeyedShard { shard, key };
            violations.extend(check_keyed_shard(&subject, &attempts, limits));
        }
        violations
    }

    fn check_completeness(&self) -> Option<Violation> {
        let logged = self.attempts.len();
        let received = self.counts.parts;
        (received > logged as u64).then_some(Violation::IncompleteLog { logged, received })
    }

    fn attempts_by_part(&self) -> BTreeMap<&str, Vec<&Attempt>> {
        let mut by_part: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
        for attempt in &self.attempts {
            by_part.entry(&attempt.part_id).or_default().push(attempt);
        }
        by_part
    }

    fn attempts_by_key(&self) -> BTreeMap<(&str, usize), Vec<&Attempt>> {
        let mut by_key: BTreeMap<(&str, usize), Vec<&Attempt>> = BTreeMap::new();
        for attempt in &self.attempts {
            if let Some(key) = &attempt.idempotency_key {
                by_key
                    .entry((key, attempt.shard))
                    .or_default()
                    .push(attempt);
            }
        }
        by_key
    }
}

fn check_drain(attempt: &Attempt, limits: AttemptLimits) -> Option<Violation> {
    let draining_since = attempt.draining_since?;
    let latest = draining_since + limits.drain_grace + limits.clock_tolerance;
    (attempt.received_at > latest).then(|| Violation::SentToDrainingServer {
        part_id: attempt.part_id.clone(),
        server: attempt.server.clone(),
        delay_ms: (attempt.received_at - draining_since).as_millis(),
    })
}

fn check_part(part_id: &str, attempts: &[&Attempt], limits: AttemptLimits) -> Vec<Violation> {
    let mut violations = Vec::new();
    if attempts.len() > limits.max_attempts {
        violations.push(Violation::TooManyAttempts {
            part_id: part_id.to_owned(),
            attempts: attempts.len(),
        });
    }
    let subject = AttemptSubject::Part(part_id.to_owned());
    violations.extend(check_concurrency(&subject, attempts, limits));
    violations
}

fn check_keyed_shard(
    subject: &AttemptSubject,
    attempts: &[&Attempt],
    limits: AttemptLimits,
) -> Vec<Violation> {
    let mut violations = check_concurrency(subject, attempts, limits);
    let Some(first) = attempts.iter().find(|attempt| attempt.executed) else {
        return violations;
    };
    let latest = first.received_at + limits.deduplication_window + limits.clock_tolerance;
    let late_attempts = attempts
        .iter()
        .filter(|attempt| attempt.received_at > latest);
    violations.extend(late_attempts.map(|late| Violation::RepeatedAfterWindow {
        subject: subject.clone(),
        delay_ms: (late.received_at - first.received_at).as_millis(),
    }));
    violations
}

/// Finds attempts that arrived while the attempt before them was still in flight.
fn check_concurrency(
    subject: &AttemptSubject,
    attempts: &[&Attempt],
    limits: AttemptLimits,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for pair in attempts.windows(2) {
        let (first, second) = (pair[0], pair[1]);
        // The cancellation of the first attempt and the call of the second travel on two connections.
        let latest_end = second.received_at + limits.clock_tolerance;
        if first.end.is_none_or(|end| end.at > latest_end) {
            violations.push(Violation::ConcurrentAttempts {
                subject: subject.clone(),
                first_server: first.server.clone(),
                second_server: second.server.clone(),
            });
        }
    }
    violations
}
