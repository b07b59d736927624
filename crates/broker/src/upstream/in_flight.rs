//! The attempts in flight, and the times at which each is looked at again.

use super::attempt::OutgoingPart;
use super::connection::ServerConnectionId;
use broker_types::query::{AttemptId, PartIndex, QueryId};
use broker_types::time::Micros;
use std::collections::{BTreeMap, BTreeSet};

/// An attempt that was handed to a connection and has not ended.
pub(super) struct InFlightAttempt {
    /// Connection that it was handed to.
    pub(super) connection: ServerConnectionId,
    /// Id of its part on the wire.
    pub(super) wire_id: String,
    /// When it was handed to the connection.
    pub(super) sent_at: Micros,
    /// Time until which the response is awaited.
    deadline: Micros,
    /// Time of its [`Check`].
    check_at: Micros,
}

impl InFlightAttempt {
    /// An attempt that is handed to a connection now.
    pub(super) fn new(now: Micros, connection: ServerConnectionId, part: &OutgoingPart) -> Self {
        let send_before = part.send_before.unwrap_or(Micros::MAX);
        InFlightAttempt {
            connection,
            wire_id: part.wire_id.clone(),
            sent_at: now,
            deadline: part.deadline,
            check_at: part.deadline.min(send_before),
        }
    }
}

/// A time at which an attempt is looked at again. Checks are ordered by time, then by attempt.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct Check {
    at: Micros,
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

/// All attempts in flight.
#[derive(Default)]
pub(super) struct InFlightAttempts {
    attempts: BTreeMap<AttemptId, InFlightAttempt>,
    /// One check for each attempt.
    checks: BTreeSet<Check>,
}

impl InFlightAttempts {
    /// Adds an attempt.
    pub(super) fn insert(&mut self, attempt: AttemptId, in_flight: InFlightAttempt) {
        let at = in_flight.check_at;
        self.checks.insert(Check { at, attempt });
        self.attempts.insert(attempt, in_flight);
    }

    /// An attempt, if it is in flight.
    pub(super) fn get(&self, attempt: AttemptId) -> Option<&InFlightAttempt> {
        self.attempts.get(&attempt)
    }

    /// Removes an attempt.
    pub(super) fn remove(&mut self, attempt: AttemptId) -> Option<InFlightAttempt> {
        let in_flight = self.attempts.remove(&attempt)?;
        let at = in_flight.check_at;
        self.checks.remove(&Check { at, attempt });
        Some(in_flight)
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

    /// Sorts attempts by the time at which they were sent, then by their ids.
    pub(super) fn sort_by_age(&self, attempts: &mut [AttemptId]) {
        attempts.sort_by_key(|attempt| (self.get(*attempt).map(|a| a.sent_at), *attempt));
    }

    /// The first attempt for which a time has been reached. One whose deadline is reached must be removed by the
    /// caller; any other is next looked at when its deadline is reached.
    pub(super) fn next_expired(&mut self, now: Micros) -> Option<Expiry> {
        let check = *self.checks.first()?;
        if check.at > now {
            return None;
        }
        let attempt = check.attempt;
        match self.attempts.get_mut(&attempt) {
            Some(in_flight) if in_flight.deadline > now => {
                in_flight.check_at = in_flight.deadline;
                let at = in_flight.check_at;
                self.checks.remove(&check);
                self.checks.insert(Check { at, attempt });
                Some(Expiry::SendPeriodOver(attempt))
            }
            _ => Some(Expiry::DeadlineReached(attempt)),
        }
    }

    /// The earliest time at which an attempt is looked at again.
    pub(super) fn next_check(&self) -> Option<Micros> {
        self.checks.first().map(|check| check.at)
    }

    /// Ids of all attempts.
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
