//! What each query reserves until it ends: its request id, a share of its connection's quota and
//! its idempotency key.
//!
//! [`QueryReservations`] owns these, and decides by them whether a query is admitted. An admitted
//! query must be released once, when it ends.

use super::idempotency_guard::{IdempotencyGuard, WindowClosed};
use crate::event_queue::ReceivedQuery;
use admission::{ConnectionId, ConnectionQuota};
use broker_types::query::{AttemptId, FinalResponse, QueryRequest};
use broker_types::server::Outcome;
use broker_types::time::{Timestamp, millis};
use fanout_policy::api::Settings;
use idempotency::{KeyAdmission, QueryEnd};
use policy_engine::Dispatch;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;
use tracing::info;

/// Status of the response to an invalid request.
const BAD_REQUEST: u16 = 400;

/// What the queries in flight have reserved.
pub(super) struct QueryReservations {
    /// Request ids of the queries in flight. They are part of the parts' ids on the wire.
    request_ids: BTreeSet<Rc<str>>,
    quota: ConnectionQuota,
    idempotency: IdempotencyGuard,
    /// Longest time after which clients are asked to retry.
    max_retry_after: Option<Duration>,
}

impl QueryReservations {
    /// Returns no reservations. `capacity` is the largest number of queries and parts in flight.
    pub(super) fn new(settings: &Settings, capacity: usize) -> Self {
        QueryReservations {
            request_ids: BTreeSet::new(),
            quota: ConnectionQuota::new(capacity),
            idempotency: IdempotencyGuard::new(settings),
            max_retry_after: settings.max_retry_after.map(millis),
        }
    }

    /// Reserves the query's request id, its share of its connection's quota and its idempotency
    /// key.
    ///
    /// # Errors
    ///
    /// The final response if one of these is not available. Nothing is reserved then.
    pub(super) fn reserve(
        &mut self,
        now: Timestamp,
        query: &ReceivedQuery,
        deadline: Timestamp,
    ) -> Result<(), FinalResponse> {
        let request = &query.request;
        if self.request_ids.contains(&request.id) {
            return Err(duplicate_request_id());
        }
        self.reserve_quota(query)?;
        if let Err(response) = self.reserve_idempotency_key(now, query, deadline) {
            self.quota.release(query.connection, quota_units(request));
            return Err(response);
        }
        self.request_ids.insert(request.id.clone());
        Ok(())
    }

    /// Releases what a query that has ended had reserved.
    pub(super) fn release(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        request: &QueryRequest,
        end: QueryEnd,
    ) {
        self.request_ids.remove(&request.id);
        self.quota.release(connection, quota_units(request));
        if let Some(key) = &request.idempotency_key {
            self.idempotency.on_query_ended(now, key, end);
        }
    }

    /// Registers an attempt at a part of a query that is about to be sent. Returns the time from
    /// which on it must not be sent any more, if there is one.
    ///
    /// # Errors
    ///
    /// That time has come already.
    pub(super) fn reserve_attempt(
        &mut self,
        now: Timestamp,
        request: &QueryRequest,
        shard: usize,
        dispatch: &Dispatch,
    ) -> Result<Option<Timestamp>, WindowClosed> {
        match &request.idempotency_key {
            Some(key) => self.idempotency.reserve_attempt(now, key, shard, dispatch),
            None => Ok(None),
        }
    }

    /// Records the end of an attempt, also after its query has ended.
    pub(super) fn on_attempt_ended(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        outcome: Outcome,
    ) {
        self.idempotency.on_attempt_ended(now, attempt, outcome);
    }

    fn reserve_quota(&mut self, query: &ReceivedQuery) -> Result<(), FinalResponse> {
        let units = quota_units(&query.request);
        if self.quota.try_acquire(query.connection, units) {
            return Ok(());
        }
        info!(
            name: "connection_quota_exceeded",
            connection = query.connection.0,
            in_use = self.quota.in_use()
        );
        Err(FinalResponse::Rejected {
            retry_after: self.max_retry_after,
        })
    }

    /// Reserves the query's idempotency key, if it has one.
    fn reserve_idempotency_key(
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
