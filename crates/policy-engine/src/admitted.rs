//! The queries that the engine has admitted and that have not ended: the capacity that they use,
//! the numbers of their attempts and their deadlines.
//!
//! [`AdmittedQueries`] holds no state of the policy or of the broker's connections. The engine
//! removes a query when it ends, which frees its capacity.

use crate::commands::QuerySpec;
use broker_types::query::{AttemptId, PartIndex, QueryId};
use broker_types::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// A query that was admitted.
struct AdmittedQuery {
    /// Number of attempts started so far, by part; the next attempt at the part has this number.
    /// The policy numbers the attempts at a part in the order in which it sends them. The number is
    /// missing in its action that sends an attempt, but its action that cancels an attempt contains
    /// it. The engine therefore counts in the same order, so that both mean the same attempt.
    attempts: Vec<u32>,
    /// Time at which the client stops waiting.
    deadline: Timestamp,
}

impl AdmittedQuery {
    /// Returns the capacity that the query uses: one unit for itself and one for each part.
    fn units(&self) -> usize {
        1 + self.attempts.len()
    }
}

/// The deadline of a query. Deadlines are ordered by time, and equal times by the query's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct QueryDeadline {
    at: Timestamp,
    query: QueryId,
}

/// An attempt that has just been started.
pub(crate) struct StartedAttempt {
    /// Identifies the attempt.
    pub(crate) id: AttemptId,
    /// Deadline of the attempt's query.
    pub(crate) query_deadline: Timestamp,
}

/// The remaining capacity does not suffice for a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct OverCapacity;

/// All queries that were admitted and have not ended. Their number is bounded by a capacity in
/// units, of which a query uses one for itself and one for each part.
pub(crate) struct AdmittedQueries {
    /// Maximum number of units.
    capacity: usize,
    /// Number of units that the queries use.
    in_use: usize,
    queries: BTreeMap<QueryId, AdmittedQuery>,
    /// The deadlines of all queries, the earliest first.
    deadlines: BTreeSet<QueryDeadline>,
}

impl AdmittedQueries {
    /// Creates an empty set of queries. `capacity` is the maximum number of queries and parts
    /// together.
    pub(crate) fn new(capacity: usize) -> Self {
        AdmittedQueries {
            capacity,
            in_use: 0,
            queries: BTreeMap::new(),
            deadlines: BTreeSet::new(),
        }
    }

    /// Returns the number of queries and parts that use the capacity, together.
    pub(crate) fn in_use(&self) -> usize {
        self.in_use
    }

    /// Admits a query with its parts.
    ///
    /// # Errors
    ///
    /// Returns [`OverCapacity`], and changes nothing, if the query and its parts exceed the
    /// remaining capacity.
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

    /// Removes a query with its parts. Returns `false` if the query has ended before.
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

    /// Starts the next attempt at a part. Returns `None` if the query has ended or has no such
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

    /// Returns the earliest deadline of all queries; `None` if there are no queries.
    pub(crate) fn earliest_deadline(&self) -> Option<Timestamp> {
        self.deadlines.first().map(|deadline| deadline.at)
    }

    /// Returns the query with the earliest deadline if that deadline is at or before `time`.
    pub(crate) fn first_due_by(&self, time: Timestamp) -> Option<QueryId> {
        let first = self.deadlines.first()?;
        (first.at <= time).then_some(first.query)
    }
}
