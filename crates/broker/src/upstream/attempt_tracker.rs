//! The attempts that are assigned to connections, and the time at which each must be checked next.
//!
//! [`AttemptTracker`] owns each attempt from its assignment to a connection until its
//! [`EndedAttempt`] is taken. It refers to queries and connections by their ids only. Its callers
//! decide when an attempt ends and with which result.

use super::assignment::Assignment;
use super::attempt::{AttemptResult, EndedAttempt, OutgoingAttempt};
use broker_types::query::{AttemptId, PartIndex, QueryId};
use broker_types::server::Outcome;
use broker_types::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// An attempt that is assigned to a connection and has not ended.
struct TrackedAttempt {
    assignment: Assignment,
    /// Time until which the broker waits for the response.
    deadline: Timestamp,
    /// Time of the attempt's [`ExpiryCheck`].
    check_at: Timestamp,
}

/// The next time at which an attempt must be checked for one of its time limits. Checks are ordered
/// by time, then by attempt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct ExpiryCheck {
    at: Timestamp,
    attempt: AttemptId,
}

/// A time limit that an attempt has reached.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Expiry {
    /// The part of this attempt must no longer be sent. If it was sent before, the broker continues
    /// to wait for its response.
    SendPeriodOver(AttemptId),
    /// The deadline of this attempt has been reached: the broker no longer waits for its response.
    DeadlineReached(AttemptId),
}

/// The attempts that are assigned to connections, and the ended attempts that have not been taken
/// yet.
#[derive(Default)]
pub(super) struct AttemptTracker {
    attempts: BTreeMap<AttemptId, TrackedAttempt>,
    /// Exactly one check for each entry of `attempts`.
    checks: BTreeSet<ExpiryCheck>,
    /// Ended attempts that have not been taken yet, in the order in which they ended.
    ended: Vec<EndedAttempt>,
}

impl AttemptTracker {
    /// Starts to track an attempt that has been assigned to a connection.
    pub(super) fn track(&mut self, outgoing: &OutgoingAttempt, assignment: Assignment) {
        let (attempt, deadline) = (outgoing.attempt, outgoing.part.deadline);
        let send_before = outgoing.part.send_before;
        let check_at = send_before.map_or(deadline, |limit| limit.min(deadline));
        self.checks.insert(ExpiryCheck {
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

    /// Returns the assignment of an attempt, or `None` if the attempt has ended.
    pub(super) fn assignment(&self, attempt: AttemptId) -> Option<&Assignment> {
        self.attempts
            .get(&attempt)
            .map(|tracked| &tracked.assignment)
    }

    /// Ends an attempt with `result` and returns its former assignment. Does nothing and returns
    /// `None` if the attempt has ended before.
    pub(super) fn end(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        result: AttemptResult,
    ) -> Option<Assignment> {
        let tracked = self.attempts.remove(&attempt)?;
        self.checks.remove(&ExpiryCheck {
            at: tracked.check_at,
            attempt,
        });
        let elapsed = tracked.assignment.elapsed(now);
        self.ended.push(EndedAttempt::new(attempt, elapsed, result));
        Some(tracked.assignment)
    }

    /// Records the end of an attempt that could not be assigned to a connection.
    pub(super) fn end_unassigned(&mut self, attempt: AttemptId, outcome: Outcome) {
        self.ended.push(EndedAttempt::unsent(attempt, outcome));
    }

    /// Removes and returns the ended attempts, in the order in which they ended.
    pub(super) fn take_ended(&mut self) -> Vec<EndedAttempt> {
        std::mem::take(&mut self.ended)
    }

    /// Returns whether there are ended attempts that have not been taken yet.
    pub(super) fn has_ended(&self) -> bool {
        !self.ended.is_empty()
    }

    /// Returns the attempts at one part of a query, or at all of its parts if `part` is `None`.
    pub(super) fn attempts_of_query(
        &self,
        query: QueryId,
        part: Option<PartIndex>,
    ) -> Vec<AttemptId> {
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

    /// Returns `attempts` sorted by the time at which they were assigned, then by their ids.
    pub(super) fn sorted_oldest_first(
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

    /// Returns the earliest time limit that an attempt has reached by `now`, or `None` if there is
    /// none.
    ///
    /// After [`Expiry::SendPeriodOver`] the attempt is checked again at its deadline. After
    /// [`Expiry::DeadlineReached`] the caller must end the attempt, because the next call would
    /// return the same attempt again.
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
                self.checks.insert(ExpiryCheck { at, attempt });
                Some(Expiry::SendPeriodOver(attempt))
            }
            _ => Some(Expiry::DeadlineReached(attempt)),
        }
    }

    /// Returns the earliest time at which an attempt must be checked, or `None` if no attempt is
    /// tracked.
    pub(super) fn next_check(&self) -> Option<Timestamp> {
        self.checks.first().map(|check| check.at)
    }

    /// Returns the ids of all attempts that have not ended.
    #[cfg(test)]
    pub(super) fn ids(&self) -> impl Iterator<Item = AttemptId> {
        self.attempts.keys().copied()
    }

    /// Returns the number of scheduled checks.
    #[cfg(test)]
    pub(super) fn scheduled_checks(&self) -> usize {
        self.checks.len()
    }
}
