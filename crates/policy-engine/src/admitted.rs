//! The queries that the engine has admitted and not ended: the capacity that they use, the numbers
//! of their attempts and their deadlines.
//!
//! [`AdmittedQueries`] knows nothing of what the policy or the broker's connections keep for a
//! query. The engine removes a query at its end, which frees its capacity.

use crate::commands::QuerySpec;
use broker_types::query::{AttemptId, PartIndex, QueryId};
use broker_types::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// A query that was admitted.
struct AdmittedQuery {
    /// Number of attempts started so far for each part. The policy numbers them by their order
    /// alone.
    attempts: Vec<u32>,
    /// Time at which the client stops waiting.
    deadline: Timestamp,
}

impl AdmittedQuery {
    /// Capacity that the query takes: one unit for itself and one for each part.
    fn units(&self) -> usize {
        1 + self.attempts.len()
    }
}

/// Deadline of a query. The order is that of time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueryDeadline {
    at: Timestamp,
    query: QueryId,
}

/// An attempt that was just started.
pub(crate) struct StartedAttempt {
    /// The attempt.
    pub(crate) id: AttemptId,
    /// Deadline of the attempt's query.
    pub(crate) query_deadline: Timestamp,
}

/// The capacity does not suffice for another query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OverCapacity;

/// All queries that were admitted and have not ended, bounded by a capacity in queries and parts
/// together.
pub(crate) struct AdmittedQueries {
    capacity: usize,
    in_use: usize,
    queries: BTreeMap<QueryId, AdmittedQuery>,
    /// One deadline for each query.
    deadlines: BTreeSet<QueryDeadline>,
}

impl AdmittedQueries {
    /// Returns no queries, with a capacity for so many queries and parts together.
    pub(crate) fn new(capacity: usize) -> Self {
        AdmittedQueries {
            capacity,
            in_use: 0,
            queries: BTreeMap::new(),
            deadlines: BTreeSet::new(),
        }
    }

    /// Number of queries and parts in use of the capacity.
    pub(crate) fn in_use(&self) -> usize {
        self.in_use
    }

    /// Admits a query and its parts.
    ///
    /// # Errors
    ///
    /// They exceed the capacity. Nothing has changed then.
    pub(crate) fn admit(&mut self, query: &QuerySpec) -> Result<(), OverCapacity> {
        let admitted = AdmittedQuery {
            attempts: vec![0; query.parts.len()],
            deadline: query.deadline,
        };
        if self.in_use + admitted.units() > self.capacity {
            return Err(OverCapacity);
        }
        self.in_use += admitted.units();
        self.deadlines.insert(QueryDeadline {
            at: admitted.deadline,
            query: query.id,
        });
        self.queries.insert(query.id, admitted);
        Ok(())
    }

    /// Removes a query and its parts. Returns whether it had not ended before.
    pub(crate) fn remove(&mut self, query: QueryId) -> bool {
        let Some(removed) = self.queries.remove(&query) else {
            return false;
        };
        self.in_use -= removed.units();
        self.deadlines.remove(&QueryDeadline {
            at: removed.deadline,
            query,
        });
        true
    }

    /// Starts the next attempt at a part. Returns `None` where the query has ended or has no such
    /// part.
    pub(crate) fn start_attempt(
        &mut self,
        query: QueryId,
        part: PartIndex,
    ) -> Option<StartedAttempt> {
        let admitted = self.queries.get_mut(&query)?;
        let started = admitted.attempts.get_mut(part.0)?;
        let attempt = *started;
        *started += 1;
        Some(StartedAttempt {
            id: AttemptId {
                query,
                part,
                attempt,
            },
            query_deadline: admitted.deadline,
        })
    }

    /// The earliest deadline of all queries.
    pub(crate) fn earliest_deadline(&self) -> Option<Timestamp> {
        self.deadlines.first().map(|deadline| deadline.at)
    }

    /// The query with the earliest deadline, where that is not after `time`.
    pub(crate) fn first_due_by(&self, time: Timestamp) -> Option<QueryId> {
        let first = self.deadlines.first()?;
        (first.at <= time).then_some(first.query)
    }
}
