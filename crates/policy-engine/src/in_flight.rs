//! The queries in flight, their attempts and their deadlines.

use crate::commands::QuerySpec;
use broker_types::query::{AttemptId, PartIndex, QueryId};
use broker_types::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};

/// A query in flight.
struct InFlightQuery {
    /// Number of attempts started so far for each part. The policy numbers them by their order alone.
    attempts: Vec<u32>,
    /// Time at which the client stops waiting.
    deadline: Timestamp,
}

impl InFlightQuery {
    /// Capacity that the query takes: one unit for itself and one for each part.
    fn units(&self) -> usize {
        1 + self.attempts.len()
    }
}

/// An attempt that was just started.
pub(crate) struct StartedAttempt {
    /// The attempt.
    pub(crate) id: AttemptId,
    /// Deadline of the attempt's query.
    pub(crate) query_deadline: Timestamp,
}

/// All queries in flight, bounded by a capacity in queries and parts together.
pub(crate) struct InFlightTable {
    capacity: usize,
    in_use: usize,
    queries: BTreeMap<QueryId, InFlightQuery>,
    /// The queries in the order of their deadlines.
    deadlines: BTreeSet<(Timestamp, QueryId)>,
}

impl InFlightTable {
    /// An empty table for so many queries and parts together.
    pub(crate) fn new(capacity: usize) -> Self {
        InFlightTable {
            capacity,
            in_use: 0,
            queries: BTreeMap::new(),
            deadlines: BTreeSet::new(),
        }
    }

    /// Number of queries and parts in flight.
    pub(crate) fn in_use(&self) -> usize {
        self.in_use
    }

    /// Adds a query and its parts. Returns `false`, and changes nothing, where they exceed the capacity.
    pub(crate) fn try_insert(&mut self, query: &QuerySpec) -> bool {
        let added = InFlightQuery {
            attempts: vec![0; query.parts.len()],
            deadline: query.deadline,
        };
        if self.in_use + added.units() > self.capacity {
            return false;
        }
        self.in_use += added.units();
        self.deadlines.insert((added.deadline, query.id));
        self.queries.insert(query.id, added);
        true
    }

    /// Removes a query and its parts. Returns whether the query was in flight.
    pub(crate) fn remove(&mut self, query: QueryId) -> bool {
        let Some(removed) = self.queries.remove(&query) else {
            return false;
        };
        self.in_use -= removed.units();
        self.deadlines.remove(&(removed.deadline, query));
        true
    }

    /// Starts the next attempt at a part. Returns `None` where the query is not in flight or has no such part.
    pub(crate) fn start_attempt(
        &mut self,
        query: QueryId,
        part: PartIndex,
    ) -> Option<StartedAttempt> {
        let in_flight = self.queries.get_mut(&query)?;
        let started = in_flight.attempts.get_mut(part.0)?;
        let attempt = *started;
        *started += 1;
        Some(StartedAttempt {
            id: AttemptId {
                query,
                part,
                attempt,
            },
            query_deadline: in_flight.deadline,
        })
    }

    /// The earliest deadline of all queries.
    pub(crate) fn earliest_deadline(&self) -> Option<Timestamp> {
        self.deadlines.first().map(|(deadline, _)| *deadline)
    }

    /// The query with the earliest deadline, where that is not after `time`.
    pub(crate) fn first_due_by(&self, time: Timestamp) -> Option<QueryId> {
        let (deadline, query) = self.deadlines.first()?;
        (*deadline <= time).then_some(*query)
    }
}
