//! Table of the queries in flight with its indexes.

use super::{Attempt, InFlightAttempt, InFlightQuery, PartState, ServerIndex};
use crate::api::{Outcome, Part, PartId, QueryId};
use std::collections::{BTreeMap, BTreeSet};

/// Where a part is found.
struct PartLocation {
    query: QueryId,
    index: usize,
}

/// Which attempt of which part.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct AttemptKey {
    part: PartId,
    attempt: u32,
}

/// The queries in flight, their parts and their attempts.
#[derive(Default)]
pub(crate) struct QueryTable {
    queries: BTreeMap<QueryId, InFlightQuery>,
    by_group: BTreeMap<u64, QueryId>,
    by_part: BTreeMap<PartId, PartLocation>,
    attempts: BTreeMap<AttemptKey, InFlightAttempt>,
}

impl QueryTable {
    /// Whether no query is in flight.
    pub(crate) fn is_empty(&self) -> bool {
        self.queries.is_empty()
    }

    /// Identifiers of all queries, in order.
    pub(crate) fn ids(&self) -> Vec<QueryId> {
        self.queries.keys().cloned().collect()
    }

    /// Adds a query whose parts are still to come.
    pub(crate) fn add(&mut self, id: QueryId, query: InFlightQuery) {
        self.by_group.insert(query.group, id.clone());
        self.queries.insert(id, query);
    }

    /// Takes a query out of the table; its indexes stay.
    pub(crate) fn take(&mut self, id: &QueryId) -> Option<InFlightQuery> {
        self.queries.remove(id)
    }

    /// Puts a query back that was taken out.
    pub(crate) fn put_back(&mut self, id: QueryId, query: InFlightQuery) {
        self.queries.insert(id, query);
    }

    /// Removes the indexes of a query that has been taken out for good.
    pub(crate) fn remove_indexes(&mut self, query: &InFlightQuery) {
        self.by_group.remove(&query.group);
        for part in &query.parts {
            self.by_part.remove(&part.id);
        }
    }

    /// Adds a part to the query of its group. Without such a query it is dropped.
    pub(crate) fn add_part(&mut self, part: Part) {
        let Some(id) = self.by_group.get(&part.group) else {
            return;
        };
        let Some(query) = self.queries.get_mut(id) else {
            return;
        };
        let location = PartLocation {
            query: id.clone(),
            index: query.parts.len(),
        };
        self.by_part.insert(part.id.clone(), location);
        query.is_planned = false;
        query.parts.push(PartState {
            id: part.id,
            shard: part.shard,
            weight: if part.weight.is_finite() {
                part.weight.max(0.0)
            } else {
                0.0
            },
            cost_hint: part
                .cost_hint
                .filter(|cost| cost.is_finite() && *cost > 0.0),
            row_server: None,
            attempts: Vec::new(),
            is_served: false,
            is_deferred: false,
        });
    }

    /// Records a sent attempt of a part.
    pub(crate) fn record_send(&mut self, part: &mut PartState, attempt: InFlightAttempt) {
        part.attempts.push(Attempt {
            server: attempt.server,
            sent_at: attempt.sent_at,
            expected_latency: attempt.expected_latency,
            outcome: None,
        });
        let number = part.attempts.len() as u32 - 1;
        let part = part.id.clone();
        self.attempts.insert(
            AttemptKey {
                part,
                attempt: number,
            },
            attempt,
        );
    }

    /// Removes and returns an attempt that has ended.
    pub(crate) fn take_attempt(&mut self, part: &PartId, attempt: u32) -> Option<InFlightAttempt> {
        let part = part.clone();
        self.attempts.remove(&AttemptKey { part, attempt })
    }

    /// Records the outcome of an attempt with its part, if its query is still in flight.
    pub(crate) fn record_outcome(&mut self, part: &PartId, attempt: u32, outcome: Outcome) {
        let Some(location) = self.by_part.get(part) else {
            return;
        };
        let query = self.queries.get_mut(&location.query);
        let Some(part) = query.and_then(|query| query.parts.get_mut(location.index)) else {
            return;
        };
        if let Some(attempt) = part.attempts.get_mut(attempt as usize) {
            attempt.outcome = Some(outcome);
            part.is_served |= outcome == Outcome::Served;
        }
    }

    /// Indexes of all servers that queries or attempts refer to.
    pub(crate) fn servers_in_use(&self) -> BTreeSet<ServerIndex> {
        let parts = || self.queries.values().flat_map(|query| &query.parts);
        let attempted = parts().flat_map(|part| part.attempts.iter().map(|attempt| attempt.server));
        let assigned = parts().filter_map(|part| part.row_server);
        let in_flight = self.attempts.values().map(|attempt| attempt.server);
        attempted.chain(assigned).chain(in_flight).collect()
    }
}
