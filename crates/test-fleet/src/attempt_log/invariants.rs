//! The rules that a broker's attempts must follow, and their check over a log of attempts:
//!
//! * an attempt arrives at a draining server only within a grace period after the drain was
//!   published;
//! * a part has at most the maximum number of attempts;
//! * the attempts at a part are never in flight at the same time, because a
//!   [`Deployment`](crate::Deployment) does not allow hedged requests;
//! * the attempts at a shard under the same idempotency key are never in flight at the same time,
//!   even if they belong to different queries;
//! * an idempotency key is not sent again for the same shard after data servers may have stopped
//!   deduplicating it.

use super::Attempt;
use super::violation::{AttemptSubject, Violation};
use std::collections::BTreeMap;
use std::time::Duration;

/// The limits within which a broker's attempts must stay.
#[derive(Clone, Copy, Debug)]
pub struct AttemptLimits {
    /// Maximum number of attempts at one part.
    pub max_attempts: usize,
    /// Time after the first executed attempt during which data servers drop further attempts with
    /// the same idempotency key.
    pub deduplication_window: Duration,
    /// Time after the publication of a drain during which attempts may still arrive at the server.
    pub drain_grace: Duration,
    /// Maximum difference between the times at which the broker and a data server observe the same
    /// event. It is added to each limit on a time.
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

/// Returns each violation of the rules. `attempts` are in order of arrival.
pub(super) fn check_attempts(attempts: &[Attempt], limits: AttemptLimits) -> Vec<Violation> {
    let mut violations: Vec<Violation> = attempts
        .iter()
        .filter_map(|attempt| check_drain(attempt, limits))
        .collect();
    for (part_id, attempts) in group_by_part(attempts) {
        violations.extend(check_part(part_id, &attempts, limits));
    }
    for ((key, shard), attempts) in group_by_key(attempts) {
        let key = key.to_owned();
        let subject = AttemptSubject::KeyedShard { shard, key };
        violations.extend(check_keyed_shard(&subject, &attempts, limits));
    }
    violations
}

fn group_by_part(attempts: &[Attempt]) -> BTreeMap<&str, Vec<&Attempt>> {
    let mut by_part: BTreeMap<&str, Vec<&Attempt>> = BTreeMap::new();
    for attempt in attempts {
        by_part.entry(&attempt.part_id).or_default().push(attempt);
    }
    by_part
}

fn group_by_key(attempts: &[Attempt]) -> BTreeMap<(&str, usize), Vec<&Attempt>> {
    let mut by_key: BTreeMap<(&str, usize), Vec<&Attempt>> = BTreeMap::new();
    for attempt in attempts {
        if let Some(key) = &attempt.idempotency_key {
            by_key
                .entry((key, attempt.shard))
                .or_default()
                .push(attempt);
        }
    }
    by_key
}

fn check_drain(attempt: &Attempt, limits: AttemptLimits) -> Option<Violation> {
    let draining_since = attempt.draining_since?;
    let latest = draining_since + limits.drain_grace + limits.clock_tolerance;
    (attempt.received_at > latest).then(|| Violation::SentToDrainingServer {
        part_id: attempt.part_id.clone(),
        server: attempt.server.clone(),
        delay_ms: (attempt.received_at - draining_since).as_millis(),
        max_delay_ms: (latest - draining_since).as_millis(),
    })
}

fn check_part(part_id: &str, attempts: &[&Attempt], limits: AttemptLimits) -> Vec<Violation> {
    let mut violations = Vec::new();
    if attempts.len() > limits.max_attempts {
        violations.push(Violation::TooManyAttempts {
            part_id: part_id.to_owned(),
            attempts: attempts.len(),
            max_attempts: limits.max_attempts,
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
        server: late.server.clone(),
        delay_ms: (late.received_at - first.received_at).as_millis(),
        max_delay_ms: (latest - first.received_at).as_millis(),
    }));
    violations
}

/// Returns a violation for each attempt that arrived while the attempt before it was in flight.
fn check_concurrency(
    subject: &AttemptSubject,
    attempts: &[&Attempt],
    limits: AttemptLimits,
) -> Vec<Violation> {
    let mut violations = Vec::new();
    for pair in attempts.windows(2) {
        let (first, second) = (pair[0], pair[1]);
        // The broker sends the cancellation of the first attempt and the call with the second one
        // on two connections, so the call may arrive slightly earlier than the cancellation.
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
