//! The reservations of each query in flight: its request id, units of its connection's quota and
//! its idempotency key.
//!
//! [`QueryReservations`] owns the reservations. A query is admitted only if it obtains all of them.
//! They must be released exactly once, when the query ends.

use super::idempotency_guard::{IdempotencyGuard, RepetitionForbidden};
use crate::event_queue::ReceivedQuery;
use crate::request_ids::{RequestIdLease, RequestIds};
use admission::{ConnectionId, ConnectionQuota};
use broker_types::query::{AttemptId, FinalResponse, QueryRequest};
use broker_types::server::Outcome;
use broker_types::time::{Timestamp, millis};
use fanout_policy::api::Settings;
use idempotency::{KeyAdmission, QueryEnd};
use policy_engine::Dispatch;
use std::time::Duration;
use tracing::info;

/// HTTP status of the response to an invalid request.
const BAD_REQUEST: u16 = 400;

/// The reservations of all queries in flight.
pub(super) struct QueryReservations {
    request_ids: RequestIds,
    quota: ConnectionQuota,
    idempotency: IdempotencyGuard,
    /// Maximum retry-after time that a client is given; `None` if responses contain no such time.
    max_retry_after: Option<Duration>,
}

impl QueryReservations {
    /// Creates the reservations of a broker without queries. `capacity` is the maximum sum of the
    /// number of queries in flight and the number of their parts.
    pub(super) fn new(settings: &Settings, capacity: usize) -> Self {
        QueryReservations {
            request_ids: RequestIds::default(),
            quota: ConnectionQuota::new(capacity),
            idempotency: IdempotencyGuard::new(settings),
            max_retry_after: settings.max_retry_after.map(millis),
        }
    }

    /// Reserves the query's request id, its idempotency key and its units of the connection's
    /// quota: one for the query itself and one for each of its parts. Returns the lease of the
    /// request id, which the query and its outstanding parts hold.
    ///
    /// # Errors
    ///
    /// Returns the final response for the client if one of these cannot be reserved. Nothing is
    /// reserved in this case.
    pub(super) fn reserve(
        &mut self,
        now: Timestamp,
        query: &ReceivedQuery,
        deadline: Timestamp,
    ) -> Result<RequestIdLease, FinalResponse> {
        let request = &query.request;
        let request_id = self.reserve_request_id(query)?;
        self.reserve_quota(query)?;
        if let Err(response) = self.reserve_idempotency_key(now, query, deadline) {
            self.quota.release(query.connection, quota_units(request));
            return Err(response);
        }
        Ok(request_id)
    }

    /// Releases the reservations of a query that has ended, except its request id: that is in use
    /// until the lease of the query and those of its outstanding parts are dropped.
    pub(super) fn release(
        &mut self,
        now: Timestamp,
        connection: ConnectionId,
        request: &QueryRequest,
        end: QueryEnd,
    ) {
        self.quota.release(connection, quota_units(request));
        if let Some(key) = &request.idempotency_key {
            self.idempotency.on_query_ended(now, key, end);
        }
    }

    /// Registers an attempt that is about to be sent for the query's part at `shard`, if the query
    /// has an idempotency key. Returns the end of the period in which the attempt may be sent, or
    /// `None` if only its deadline limits this period.
    ///
    /// # Errors
    ///
    /// Returns [`RepetitionForbidden`] if the query has an idempotency key under which the attempt
    /// must not be sent now.
    pub(super) fn reserve_attempt(
        &mut self,
        now: Timestamp,
        request: &QueryRequest,
        shard: usize,
        dispatch: &Dispatch,
    ) -> Result<Option<Timestamp>, RepetitionForbidden> {
        match &request.idempotency_key {
            Some(key) => self.idempotency.reserve_attempt(now, key, shard, dispatch),
            None => Ok(None),
        }
    }

    /// Records the end of an attempt. This must be called even if the attempt's query has ended
    /// before. Otherwise the attempt would still count as in flight under the query's idempotency
    /// key, and a retry of the query could not send the part.
    pub(super) fn on_attempt_ended(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        outcome: Outcome,
    ) {
        self.idempotency.on_attempt_ended(now, attempt, outcome);
    }

    /// Puts the query's request id in use.
    fn reserve_request_id(&self, query: &ReceivedQuery) -> Result<RequestIdLease, FinalResponse> {
        let id = &query.request.id;
        self.request_ids.try_acquire(id).ok_or_else(|| {
            info!(name: "request_id_repeated", connection = query.connection.0, id = %id);
            duplicate_request_id()
        })
    }

    /// Acquires the units that the query needs of its connection's quota.
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
            // The query is not rejected, because a rejection tells the client that nothing was
            // executed. A part may have been executed for an earlier query with the same key.
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

/// Returns the response to a request whose id is in use. The request is invalid because the parts of
/// both queries would have the same ids in the frames to and from data servers.
fn duplicate_request_id() -> FinalResponse {
    FinalResponse::Invalid {
        status: BAD_REQUEST,
        reason: "X-Request-Id is that of a request in hand".to_owned(),
    }
}

/// Returns the number of units that a query takes of its connection's quota: one for the query
/// itself and one for each of its parts.
fn quota_units(request: &QueryRequest) -> usize {
    1 + request.parts.len()
}
