//! The rules that a broker's attempts have to keep, checked over a log.

use super::Attempt;
use super::violation::{AttemptSubject, Violation};
use std::collections::BTreeMap;
use std::time::Duration;

/// The limits that a broker's attempts have to keep.
#[derive(Clone, Copy, Debug)]
pub struct AttemptLimits {
    /// Largest number of attempts at one part.
    pub max_attempts: usize,
    /// Time after the first executed attempt during which data servers drop repeats of the same
    /// idempotency key.
    pub deduplication_window: Duration,
    /// Time after the publication of a drain during which new attempts may still arrive.
    pub drain_grace: Duration,
    /// Tolerated difference between the moments at which the broker and the server see the same
    /// event.
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

/// Returns each violation of the rules among these attempts, which are in order of arrival.
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
        // The cancellation of the first attempt and the call of the second travel on two
        // connections.
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
