//! The attempts that are assigned to connections, and the times at which each is looked at again.
//!
//! [`AttemptTracker`] owns each attempt from its assignment to a connection until its end has been
//! taken. It knows neither queries nor connections beyond their ids: when an attempt ends, and how,
//! is decided by its callers.

use super::assignment::Assignment;
use super::attempt::{AttemptResult, EndedAttempt, OutgoingAttempt};
use broker_types::query::{AttemptId, PartIndex, QueryId};
use broker_types::server::Outcome;
use broker_types::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// An attempt that is assigned to a connection and has not ended.
struct TrackedAttempt {
    assignment: Assignment,
    /// Time until which the response is awaited.
    deadline: Timestamp,
    /// Time of its [`Check`].
    check_at: Timestamp,
}

/// A time at which an attempt is looked at again. Checks are ordered by time, then by attempt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Check {
    at: Timestamp,
    attempt: AttemptId,
}

/// An attempt for which a time has been reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Expiry {
    /// The part must not be sent any more. If it was sent already, its response is awaited.
    SendPeriodOver(AttemptId),
    /// The response is not awaited any more.
    DeadlineReached(AttemptId),
}

/// All attempts that are assigned to connections, and those that have ended and were not taken.
#[derive(Default)]
pub(super) struct AttemptTracker {
    attempts: BTreeMap<AttemptId, TrackedAttempt>,
    /// One check for each attempt.
    checks: BTreeSet<Check>,
    ended: Vec<EndedAttempt>,
}

impl AttemptTracker {
    /// Tracks an attempt that has been assigned to a connection.
    pub(super) fn track(&mut self, outgoing: &OutgoingAttempt, assignment: Assignment) {
        let (attempt, deadline) = (outgoing.attempt, outgoing.part.deadline);
        let send_before = outgoing.part.send_before;
        let check_at = send_before.map_or(deadline, |limit| limit.min(deadline));
        self.checks.insert(Check {
            at: check_at,
            attempt,
        });
        let tracked = TrackedAttempt {
            assignment,
            deadline,
            check_at,
        };
        self.attempts.insert(attempt, tracked);
    }

    /// The assignment of an attempt, unless it has ended.
    pub(super) fn assignment(&self, attempt: AttemptId) -> Option<&Assignment> {
        self.attempts
            .get(&attempt)
            .map(|tracked| &tracked.assignment)
    }

    /// Ends an attempt and returns its former assignment, unless it has ended before.
    pub(super) fn end(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        result: AttemptResult,
    ) -> Option<Assignment> {
        let tracked = self.attempts.remove(&attempt)?;
        self.checks.remove(&Check {
            at: tracked.check_at,
            attempt,
        });
        let elapsed = tracked.assignment.elapsed(now);
        self.ended.push(EndedAttempt::new(attempt, elapsed, result));
        Some(tracked.assignment)
    }

    /// Ends an attempt that could not be assigned to a connection.
    pub(super) fn end_unassigned(&mut self, attempt: AttemptId, outcome: Outcome) {
        self.ended.push(EndedAttempt::unsent(attempt, outcome));
    }

    /// Takes the attempts that have ended, in the order in which they did.
    pub(super) fn take_ended(&mut self) -> Vec<EndedAttempt> {
        std::mem::take(&mut self.ended)
    }

    /// Whether attempts have ended that were not taken.
    pub(super) fn has_ended(&self) -> bool {
        !self.ended.is_empty()
    }

    /// The attempts at one part of a query, or at all of its parts.
    pub(super) fn of_query(&self, query: QueryId, part: Option<PartIndex>) -> Vec<AttemptId> {
        let first = AttemptId {
            query,
            part: part.unwrap_or(PartIndex(0)),
            attempt: 0,
        };
        let last = AttemptId {
            query,
            part: part.unwrap_or(PartIndex(usize::MAX)),
            attempt: u32::MAX,
        };
        let attempts = self.attempts.range(first..=last);
        attempts.map(|(attempt, _)| *attempt).collect()
    }

    /// Sorts attempts by the time at which they were assigned, then by their ids.
    pub(super) fn oldest_first(
        &self,
        attempts: impl IntoIterator<Item = AttemptId>,
    ) -> Vec<AttemptId> {
        let mut attempts: Vec<AttemptId> = attempts.into_iter().collect();
        attempts.sort_by_key(|attempt| {
            let assigned_at = self.assignment(*attempt).map(Assignment::assigned_at);
            (assigned_at, *attempt)
        });
        attempts
    }

    /// The first attempt for which a time has been reached. One whose deadline is reached must be
    /// ended by the caller; any other is next looked at when its deadline is reached.
    pub(super) fn next_expired(&mut self, now: Timestamp) -> Option<Expiry> {
        let check = *self.checks.first()?;
        if check.at > now {
            return None;
        }
        let attempt = check.attempt;
        match self.attempts.get_mut(&attempt) {
            Some(tracked) if tracked.deadline > now => {
                tracked.check_at = tracked.deadline;
                let at = tracked.check_at;
                self.checks.remove(&check);
                self.checks.insert(Check { at, attempt });
                Some(Expiry::SendPeriodOver(attempt))
            }
            _ => Some(Expiry::DeadlineReached(attempt)),
        }
    }

    /// The earliest time at which an attempt is looked at again.
    pub(super) fn next_check(&self) -> Option<Timestamp> {
        self.checks.first().map(|check| check.at)
    }

    /// Ids of all attempts that have not ended.
    #[cfg(test)]
    pub(super) fn ids(&self) -> impl Iterator<Item = AttemptId> {
        self.attempts.keys().copied()
    }

    /// Number of checks.
    #[cfg(test)]
    pub(super) fn scheduled_checks(&self) -> usize {
        self.checks.len()
    }
}
