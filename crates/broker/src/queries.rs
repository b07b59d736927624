//! The clients' queries in flight: their admission, their attempts and their final responses.
//!
//! [`ClientQueries`] owns each query from its admission until its one final response is sent or its
//! client has disconnected, which is where a query is freed.
//!
//! - `client_query`: one query with the way back to its client, the values received and the log of
//!   its attempts;
//! - `reservations`: what a query reserves: its request id, a share of its connection's quota and
//!   its idempotency key;
//! - `idempotency_guard`: which attempts of a query with an idempotency key may be sent, and what
//!   their ends prove.

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
use idempotency_guard::WindowClosed;
use policy_engine::{Dispatch, QuerySpec};
use reservations::QueryReservations;
use std::collections::BTreeMap;
use thiserror::Error;

/// Why a dispatched attempt must not be sent.
#[derive(Debug, PartialEq, Eq, Error)]
pub(crate) enum DispatchError {
    /// The query has finished in the same iteration.
    #[error("the query has finished")]
    QueryFinished,
    /// The part may have been executed under the same idempotency key, so long ago that the data
    /// servers no longer recognize a retry.
    #[error(transparent)]
    IdempotencyWindowClosed(#[from] WindowClosed),
}

/// The clients' queries in flight.
pub(crate) struct ClientQueries {
    queries: BTreeMap<QueryId, ClientQuery>,
    reservations: QueryReservations,
}

impl ClientQueries {
    /// Returns an empty table. `capacity` is the largest number of queries and parts in flight.
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

    /// Admits a query, or sends its final response and returns `None`.
    pub(crate) fn admit(&mut self, now: Timestamp, query: ReceivedQuery) -> Option<QuerySpec> {
        let deadline = now + query.request.client_timeout;
        if let Err(response) = self.reservations.reserve(now, &query, deadline) {
            // The client may have disconnected.
            let _ = query.reply.try_send(response);
            return None;
        }
        let request = &query.request;
        let spec = QuerySpec {
            id: query.id,
            class: request.class,
            tenant: request.tenant,
            deadline,
            is_retry: request.is_retry,
            parts: request.parts.clone(),
        };
        self.queries.insert(query.id, ClientQuery::new(now, query));
        Some(spec)
    }

    /// Removes a query whose client has disconnected. Its final response may have been sent
    /// already.
    pub(crate) fn abandon(&mut self, now: Timestamp, id: QueryId) {
        if let Some(query) = self.queries.remove(&id) {
            self.release(now, &query, QueryEnd::Unanswered);
            query.log_abandoned(id);
        }
    }

    /// Removes a query and sends its one final response, which `respond` makes of the values
    /// received so far.
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

    /// Releases what a removed query had reserved.
    fn release(&mut self, now: Timestamp, query: &ClientQuery, end: QueryEnd) {
        self.reservations
            .release(now, query.connection(), query.request(), end);
    }

    /// Completes a dispatch with all that its frame needs, and records the attempt.
    ///
    /// # Errors
    ///
    /// The attempt must not be sent.
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

    /// Records the end of an attempt and moves its value to its query.
    pub(crate) fn on_attempt_ended(&mut self, now: Timestamp, ended: &mut EndedAttempt) {
        self.reservations
            .on_attempt_ended(now, ended.attempt, ended.outcome);
        if let Some(query) = self.queries.get_mut(&ended.attempt.query) {
            query.on_attempt_ended(now, ended);
        }
    }
}

/// How a query with this final response ended.
fn query_end(response: &FinalResponse) -> QueryEnd {
    match response {
        FinalResponse::Answered { .. } => QueryEnd::Answered,
        FinalResponse::Rejected { .. } | FinalResponse::Failed | FinalResponse::Invalid { .. } => {
            QueryEnd::Unanswered
        }
    }
}
