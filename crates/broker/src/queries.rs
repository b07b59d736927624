//! The clients' queries in flight: their admission, their attempts and their final responses.
//!
//! [`ClientQueries`] owns each query from its admission until its one final response is sent or its
//! client has disconnected. It then removes the query and releases the query's reservations.
//!
//! - `client_query`: one query with the channel for its response, the values received so far and
//!   the log of its attempts;
//! - `attempt_log`: the attempts of one query, formatted for the log;
//! - `reservations`: the reservations of a query: its request id, units of its connection's quota
//!   and its idempotency key;
//! - `idempotency_guard`: for queries with an idempotency key, ensures that data servers do not
//!   execute a part twice under the same key.

mod attempt_log;
mod client_query;
mod idempotency_guard;
mod reservations;

use crate::event_queue::ReceivedQuery;
use crate::upstream::{EndedAttempt, OutgoingAttempt};
use broker_types::query::{FinalResponse, QueryId, ShardValue};
use broker_types::time::Timestamp;
use client_query::ClientQuery;
use fanout_policy::api::Settings;
use idempotency::QueryEnd;
use idempotency_guard::RepetitionForbidden;
use policy_engine::{Dispatch, QuerySpec};
use reservations::QueryReservations;
use std::collections::BTreeMap;
use thiserror::Error;

/// The reason why a dispatched attempt must not be sent.
#[derive(Debug, PartialEq, Eq, Error)]
pub(crate) enum DispatchError {
    /// The query finished in the same iteration, after the attempt had been dispatched. Also
    /// returned if the query has no part with the index of the attempt's part.
    #[error("the query of the attempt is no longer in flight")]
    QueryFinished,
    /// Data servers could execute the part a second time, because an earlier attempt under the same
    /// idempotency key may have executed it.
    #[error(transparent)]
    RepetitionForbidden(#[from] RepetitionForbidden),
}

/// The clients' queries in flight.
pub(crate) struct ClientQueries {
    queries: BTreeMap<QueryId, ClientQuery>,
    reservations: QueryReservations,
}

impl ClientQueries {
    /// Creates an empty table. `capacity` is the maximum sum of the number of queries in flight and
    /// the number of their parts.
    pub(crate) fn new(settings: &Settings, capacity: usize) -> Self {
        ClientQueries {
            queries: BTreeMap::new(),
            reservations: QueryReservations::new(settings, capacity),
        }
    }

    /// Returns the number of queries in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.queries.len()
    }

    /// Returns whether a query is in flight.
    pub(crate) fn is_in_flight(&self, id: QueryId) -> bool {
        self.queries.contains_key(&id)
    }

    /// Admits a query and returns it in the form that the policy takes. If the query cannot be
    /// admitted, sends its final response and returns `None`.
    pub(crate) fn admit(&mut self, now: Timestamp, query: ReceivedQuery) -> Option<QuerySpec> {
        let deadline = query.arrived_at + query.request.client_timeout;
        let request_id = match self.reservations.reserve(now, &query, deadline) {
            Ok(request_id) => request_id,
            Err(response) => {
                // Sending fails if the client has disconnected.
                let _ = query.reply.try_send(response);
                return None;
            }
        };
        let request = &query.request;
        let spec = QuerySpec {
            id: query.id,
            class: request.class,
            tenant: request.tenant,
            arrived_at: query.arrived_at,
            deadline,
            is_retry: request.is_retry,
            parts: request.parts.clone(),
        };
        self.queries
            .insert(query.id, ClientQuery::new(query, request_id));
        Some(spec)
    }

    /// Removes a query whose client has disconnected. Does nothing if the query's final response
    /// has already been sent.
    pub(crate) fn abandon(&mut self, now: Timestamp, id: QueryId) {
        if let Some(query) = self.queries.remove(&id) {
            self.release(now, &query, QueryEnd::Unanswered);
            query.log_abandoned(id);
        }
    }

    /// Removes a query and sends its one final response, which `respond` creates from the values
    /// received so far. Does nothing if the query is not in flight.
    pub(crate) fn finish(
        &mut self,
        now: Timestamp,
        id: QueryId,
        respond: impl FnOnce(Vec<ShardValue>) -> FinalResponse,
    ) {
        let Some(mut query) = self.queries.remove(&id) else {
            return;
        };
        let values = query.take_values();
        let answered_parts = values.len();
        let response = respond(values);
        let end = query_end(&response);
        self.release(now, &query, end);
        query.log_finished(&response);
        if end == QueryEnd::Unanswered {
            query.log_unserved(now, &response, answered_parts);
        }
        query.respond(response);
    }

    /// Releases the reservations of a query that was removed from the table.
    fn release(&mut self, now: Timestamp, query: &ClientQuery, end: QueryEnd) {
        self.reservations
            .release(now, query.connection(), query.request(), end);
    }

    /// Prepares a dispatched attempt for sending: adds the data of its query that its frame
    /// contains, and records that the attempt is sent.
    ///
    /// # Errors
    ///
    /// Returns the reason if the attempt must not be sent.
    pub(crate) fn prepare_attempt(
        &mut self,
        now: Timestamp,
        dispatch: Dispatch,
    ) -> Result<OutgoingAttempt, DispatchError> {
        let query = self
            .queries
            .get_mut(&dispatch.attempt.query)
            .ok_or(DispatchError::QueryFinished)?;
        let shard = query
            .shard(dispatch.attempt.part)
            .ok_or(DispatchError::QueryFinished)?;
        let request = query.request();
        let send_before = self
            .reservations
            .reserve_attempt(now, request, shard, &dispatch)?;
        Ok(query.start_attempt(now, dispatch, shard, send_before))
    }

    /// Records the end of an attempt. If the attempt was served and its query is in flight, moves
    /// the received value from `ended` to the query.
    pub(crate) fn on_attempt_ended(&mut self, now: Timestamp, ended: &mut EndedAttempt) {
        self.reservations
            .on_attempt_ended(now, ended.attempt, ended.outcome);
        if let Some(query) = self.queries.get_mut(&ended.attempt.query) {
            query.on_attempt_ended(now, ended);
        }
    }
}

/// Returns how a query with this final response has ended. The register of idempotency keys needs
/// this: when it is full, it removes only the keys of answered queries to make space.
fn query_end(response: &FinalResponse) -> QueryEnd {
    match response {
        FinalResponse::Answered { .. } => QueryEnd::Answered,
        FinalResponse::Rejected { .. } | FinalResponse::Failed | FinalResponse::Invalid { .. } => {
            QueryEnd::Unanswered
        }
    }
}
