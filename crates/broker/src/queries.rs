//! Queries in flight: their admission, their attempts and their final responses.

mod attempt_log;
mod client_query;
mod idempotency;

use self::idempotency::IdempotencyGuard;
use crate::event_queue::ReceivedQuery;
use crate::upstream::{EndedAttempt, OutgoingAttempt};
use ::idempotency::KeyAdmission;
use admission::ConnectionQuota;
use broker_types::query::{FinalResponse, QueryId, QueryRequest, ShardValue};
use broker_types::time::{Timestamp, millis};
use client_query::ClientQuery;
use fanout_policy::api::Settings;
use policy_engine::{Dispatch, QuerySpec};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;
use tracing::info;

/// Status of the response to an invalid request.
const BAD_REQUEST: u16 = 400;

/// Why a dispatched attempt must not be sent.
#[derive(Debug, PartialEq, Eq, Error)]
pub(crate) enum DispatchError {
    /// The query has finished in the same iteration.
    #[error("the query has finished")]
    QueryFinished,
    /// The part may have been executed under the same idempotency key, so long ago that the data servers no longer
    /// recognize a retry.
    #[error("the window of the idempotency key is closed")]
    IdempotencyWindowClosed,
}

/// The queries in flight. Each one leaves the table with its one final response, or when its client disconnects.
pub(crate) struct ClientQueries {
    queries: BTreeMap<QueryId, ClientQuery>,
    /// Request ids of the queries in flight. They are part of the parts' ids on the wire.
    request_ids: BTreeSet<Rc<str>>,
    quota: ConnectionQuota,
    idempotency: IdempotencyGuard,
    /// Longest time after which clients are asked to retry.
    max_retry_after: Option<Duration>,
}

impl ClientQueries {
    /// Returns an empty table. `capacity` is the largest number of queries and parts in flight.
    pub(crate) fn new(settings: &Settings, capacity: usize) -> Self {
        ClientQueries {
            queries: BTreeMap::new(),
            request_ids: BTreeSet::new(),
            quota: ConnectionQuota::new(capacity),
            idempotency: IdempotencyGuard::new(settings),
            max_retry_after: settings.max_retry_after.map(millis),
        }
    }

    /// Returns the number of queries in flight.
    pub(crate) fn in_flight(&self) -> usize {
        self.queries.len()
    }

    /// Admits a query, or sends its final response and returns `None`.
    pub(crate) fn admit(&mut self, now: Timestamp, query: ReceivedQuery) -> Option<QuerySpec> {
        let deadline = now + query.request.client_timeout;
        if let Err(response) = self.check_admission(now, &query, deadline) {
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
        self.request_ids.insert(request.id.clone());
        self.queries.insert(query.id, ClientQuery::new(now, query));
        Some(spec)
    }

    /// Reserves the query's share of its connection's quota and its idempotency key. Returns the final response if one
    /// of these is not available.
    fn check_admission(
        &mut self,
        now: Timestamp,
        query: &ReceivedQuery,
        deadline: Timestamp,
    ) -> Result<(), FinalResponse> {
        let request = &query.request;
        if self.request_ids.contains(&request.id) {
            return Err(duplicate_request_id());
        }
        let units = quota_units(request);
        if !self.quota.try_acquire(query.connection, units) {
            info!(
                name: "connection_quota_exceeded",
                connection = query.connection.0,
                in_use = self.quota.in_use()
            );
            return Err(FinalResponse::Rejected {
                retry_after: self.max_retry_after,
            });
        }
        let admitted = self.check_idempotency_key(now, query, deadline);
        if admitted.is_err() {
            self.quota.release(query.connection, units);
        }
        admitted
    }

    /// Reserves the query's idempotency key, if it has one.
    fn check_idempotency_key(
        &mut self,
        now: Timestamp,
        query: &ReceivedQuery,
        deadline: Timestamp,
    ) -> Result<(), FinalResponse> {
        let request = &query.request;
        let Some(key) = &request.idempotency_key else {
            return Ok(());
        };
        let admission = self.idempotency.admit(now, key, &request.parts, deadline);
        let response = match admission {
            KeyAdmission::Admitted => return Ok(()),
            KeyAdmission::RetryAt(time) => FinalResponse::Rejected {
                retry_after: self
                    .max_retry_after
                    .map(|max| max.min(time.saturating_since(now))),
            },
            KeyAdmission::WindowExpired => FinalResponse::Failed,
        };
        info!(
            name: "idempotency_key_repeated",
            connection = query.connection.0,
            id = %request.id,
            admission = ?admission
        );
        Err(response)
    }

    /// Removes a query whose client has disconnected. Its final response may have been sent already.
    pub(crate) fn abandon(&mut self, now: Timestamp, id: QueryId) {
        if let Some(query) = self.queries.remove(&id) {
            self.release(now, &query, false);
            query.log_abandoned(id);
        }
    }

    /// Removes a query and sends its one final response, which `respond` makes of the values received so far.
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
        let is_answered = matches!(response, FinalResponse::Answered { .. });
        self.release(now, &query, is_answered);
        query.log_finished(&response);
        if !is_answered {
            query.log_unserved(now, &response, answered_parts);
        }
        query.respond(response);
    }

    /// Releases what a removed query had reserved.
    fn release(&mut self, now: Timestamp, query: &ClientQuery, is_answered: bool) {
        let request = query.request();
        self.request_ids.remove(&request.id);
        self.quota.release(query.connection(), quota_units(request));
        if let Some(key) = &request.idempotency_key {
            self.idempotency.on_query_ended(now, key, is_answered);
        }
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
        let send_before = match &query.request().idempotency_key {
            Some(key) => self.idempotency.reserve(now, key, shard, &dispatch)?,
            None => None,
        };
        Ok(query.start_attempt(now, dispatch, shard, send_before))
    }

    /// Records the end of an attempt and moves its value to its query.
    pub(crate) fn on_attempt_ended(&mut self, now: Timestamp, ended: &mut EndedAttempt) {
        self.idempotency
            .on_attempt_ended(now, ended.attempt, ended.outcome);
        if let Some(query) = self.queries.get_mut(&ended.attempt.query) {
            query.on_attempt_ended(now, ended);
        }
    }
}

/// Two requests with the same id cannot be told apart by the parts' ids on the wire.
fn duplicate_request_id() -> FinalResponse {
    FinalResponse::Invalid {
        status: BAD_REQUEST,
        reason: "X-Request-Id is that of a request in hand".to_owned(),
    }
}

/// What a query takes of its connection's quota: one unit for itself and one for each part.
fn quota_units(request: &QueryRequest) -> usize {
    1 + request.parts.len()
}
