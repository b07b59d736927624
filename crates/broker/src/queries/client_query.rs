//! One query in flight: the channel for its response, the values received so far and the log of its
//! attempts.

use super::attempt_log::AttemptLog;
use crate::event_queue::ReceivedQuery;
use crate::request_ids::RequestIdLease;
use crate::upstream::{EndedAttempt, OutgoingAttempt, OutgoingPart};
use admission::ConnectionId;
use async_channel::Sender;
use broker_types::query::{FinalResponse, PartIndex, QueryId, QueryRequest, ShardValue};
use broker_types::server::Outcome;
use broker_types::time::Timestamp;
use policy_engine::Dispatch;
use tracing::{Span, debug, debug_span, info};

/// A query in flight. Dropping it closes the channel for its response, and a client that still
/// waits then receives [`FinalResponse::Failed`]. It must therefore be dropped only after its final
/// response was sent or its client has disconnected.
pub(super) struct ClientQuery {
    connection: ConnectionId,
    request: QueryRequest,
    /// Keeps the request id in use.
    request_id: RequestIdLease,
    reply: Sender<FinalResponse>,
    /// The values received so far, by index of the part; `None` for a part without a value.
    values: Vec<Option<String>>,
    arrived_at: Timestamp,
    attempts: AttemptLog,
    span: Span,
}

impl ClientQuery {
    /// Creates a query in flight from a received query that has just been admitted and holds the
    /// lease of its request id.
    pub(super) fn new(received: ReceivedQuery, request_id: RequestIdLease) -> Self {
        let ReceivedQuery {
            id,
            connection,
            request,
            arrived_at,
            reply,
            queued_at: _,
        } = received;
        let span = debug_span!("query", query = id.0, connection = connection.0, id = %request.id);
        span.in_scope(
            || debug!(name: "query_accepted", class = request.class.0, parts = request.parts.len()),
        );
        ClientQuery {
            connection,
            values: vec![None; request.parts.len()],
            request,
            request_id,
            reply,
            arrived_at,
            attempts: AttemptLog::default(),
            span,
        }
    }

    /// Returns the id of the client's connection.
    pub(super) fn connection(&self) -> ConnectionId {
        self.connection
    }

    /// Returns the client's request.
    pub(super) fn request(&self) -> &QueryRequest {
        &self.request
    }

    /// Returns the shard of a part, or `None` if the query has no such part.
    pub(super) fn shard(&self, part: PartIndex) -> Option<usize> {
        self.request.parts.get(part.0).map(|part| part.shard)
    }

    /// Records that an attempt is sent and returns it with the data for its frame. From
    /// `send_before` on, the attempt must not be sent any more.
    pub(super) fn start_attempt(
        &mut self,
        now: Timestamp,
        dispatch: Dispatch,
        shard: usize,
        send_before: Option<Timestamp>,
    ) -> OutgoingAttempt {
        let Dispatch {
            attempt,
            server,
            deadline,
        } = dispatch;
        self.span.in_scope(
            || debug!(name: "attempt_sent", shard, attempt = attempt.attempt, server = %server.0),
        );
        self.attempts.record_sent(now, attempt, server.clone());
        OutgoingAttempt {
            attempt,
            server,
            part: OutgoingPart {
                wire_id: format!("{}.{shard}", self.request.id).into(),
                shard,
                deadline,
                send_before,
                idempotency_key: self.request.idempotency_key.clone(),
                text: self.request.payload.clone(),
            },
            request_id: self.request_id.clone(),
        }
    }

    /// Records the end of an attempt. If the attempt was served, moves the received value from
    /// `ended` to this query.
    pub(super) fn on_attempt_ended(&mut self, now: Timestamp, ended: &mut EndedAttempt) {
        let EndedAttempt {
            attempt, outcome, ..
        } = *ended;
        self.span
            .in_scope(|| debug!(name: "attempt_ended", part = attempt.part.0, outcome = ?outcome));
        self.attempts.record_ended(now, attempt, outcome);
        if outcome == Outcome::Served
            && let Some(value) = self.values.get_mut(attempt.part.0)
        {
            *value = ended.value.take();
        }
    }

    /// Removes and returns the values received so far.
    pub(super) fn take_values(&mut self) -> Vec<ShardValue> {
        let values = std::mem::take(&mut self.values);
        let parts = self.request.parts.iter().zip(values);
        parts
            .filter_map(|(part, value)| {
                Some(ShardValue {
                    shard: part.shard,
                    value: value?,
                })
            })
            .collect()
    }

    /// Sends the final response. Sending fails without effect if the client has disconnected.
    pub(super) fn respond(self, response: FinalResponse) {
        let _ = self.reply.try_send(response);
    }

    /// Logs that the client has disconnected.
    pub(super) fn log_abandoned(&self, id: QueryId) {
        self.span
            .in_scope(|| debug!(name: "query_abandoned", query = id.0));
    }

    /// Logs which variant of [`FinalResponse`] the query is finished with.
    pub(super) fn log_finished(&self, response: &FinalResponse) {
        self.span.in_scope(
            || debug!(name: "query_finished", response = ?std::mem::discriminant(response)),
        );
    }

    /// Logs a query that was rejected or has failed, together with those of its attempts that were
    /// not served.
    pub(super) fn log_unserved(
        &self,
        now: Timestamp,
        response: &FinalResponse,
        answered_parts: usize,
    ) {
        let request = &self.request;
        info!(
            name: "query_unserved",
            id = %request.id,
            class = request.class.0,
            is_retry = request.is_retry,
            rejected = matches!(response, FinalResponse::Rejected { .. }),
            elapsed_ms = now.saturating_since(self.arrived_at).as_millis() as u64,
            client_timeout_ms = request.client_timeout.as_millis() as u64,
            parts = request.parts.len(),
            answered_parts,
            attempts = self.attempts.len(),
            unserved_attempts = self.attempts.format_unserved(self.arrived_at)
        );
    }
}
