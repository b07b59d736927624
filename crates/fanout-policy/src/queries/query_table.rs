//! Table of the queries in flight, with indexes that find queries by group and parts by identifier.

use super::{Attempt, InFlightQuery, PartState};
use crate::api::{Outcome, Part, PartId, QueryId};
use crate::fleet::ServerIndex;
use std::collections::BTreeMap;

/// Query that a part belongs to, and index of the part within that query.
struct PartLocation {
    query: QueryId,
    index: usize,
}

/// Whether a query remains in flight.
#[must_use]
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueryProgress {
    /// The query remains in flight.
    InFlight,
    /// The query has ended.
    Ended,
}

/// The queries in flight and their parts.
#[derive(Default)]
pub(crate) struct QueryTable {
    queries: BTreeMap<QueryId, InFlightQuery>,
    indexes: QueryIndexes,
}

/// Indexes of the queries and parts in the table.
#[derive(Default)]
struct QueryIndexes {
    by_group: BTreeMap<u64, QueryId>,
    by_part: BTreeMap<PartId, PartLocation>,
}

impl QueryTable {
    /// Returns whether no query is in flight.
    pub(crate) fn is_empty(&self) -> bool {
        self.queries.is_empty()
    }

    /// Adds a query. Its parts are added by [`QueryTable::add_part`].
    pub(crate) fn add(&mut self, id: QueryId, query: InFlightQuery) {
        self.indexes.by_group.insert(query.group(), id.clone());
        self.queries.insert(id, query);
    }

    /// Adds a part to the query in flight with the same group. Without such a query, the part is
    /// ignored.
    pub(crate) fn add_part(&mut self, part: Part) {
        let Some(id) = self.indexes.by_group.get(&part.group) else {
            return;
        };
        let Some(query) = self.queries.get_mut(id) else {
            return;
        };
        let part_id = part.id.clone();
        let location = PartLocation {
            query: id.clone(),
            index: query.add_part(part),
        };
        self.indexes.by_part.insert(part_id, location);
    }

    /// Records the outcome of an attempt for a part, if the query of the part is still in flight.
    pub(crate) fn record_outcome(&mut self, part: &PartId, number: u32, outcome: Outcome) {
        let Some(location) = self.indexes.by_part.get(part) else {
            return;
        };
        let query = self.queries.get_mut(&location.query);
        if let Some(part) = query.and_then(|query| query.part_mut(location.index)) {
            part.record_outcome(number, outcome);
        }
    }

    /// Removes and returns a query; `None` if it is not in flight.
    pub(crate) fn remove(&mut self, id: &QueryId) -> Option<InFlightQuery> {
        let query = self.queries.remove(id)?;
        self.indexes.remove(&query);
        Some(query)
    }

    /// Calls `advance` for all queries in order of their identifiers, and removes each query for
    /// which it returns [`QueryProgress::Ended`].
    pub(crate) fn advance_each(
        &mut self,
        mut advance: impl FnMut(&QueryId, &mut InFlightQuery) -> QueryProgress,
    ) {
        let indexes = &mut self.indexes;
        self.queries.retain(|id, query| {
            let progress = advance(id, query);
            if progress == QueryProgress::Ended {
                indexes.remove(query);
            }
            progress == QueryProgress::InFlight
        });
    }

    /// Returns the servers that any query refers to, with repetitions: those to which attempts were
    /// sent, and those in the replica rows to which parts are assigned.
    pub(crate) fn servers(&self) -> impl Iterator<Item = ServerIndex> {
        let parts = || self.queries.values().flat_map(InFlightQuery::parts);
        let attempted = parts().flat_map(|part| part.attempts().iter().map(Attempt::server));
        let assigned = parts().filter_map(PartState::row_server);
        attempted.chain(assigned)
    }
}

impl QueryIndexes {
    fn remove(&mut self, query: &InFlightQuery) {
        self.by_group.remove(&query.group());
        for part in query.parts() {
            self.by_part.remove(part.id());
        }
    }
}
