//! Events of connections: responses, invalid frames and failures.

use super::ServerPools;
use super::connection::ServerConnectionId;
use super::pools::AttemptResult;
use crate::event_queue::ConnectionEvent;
use broker_types::query::AttemptId;
use broker_types::server::Outcome;
use broker_types::time::Micros;
use server_protocol::InvalidFrame;
use server_protocol::broker::{PartResponse, ServerMessage};
use std::collections::BTreeSet;
use thiserror::Error;
use tracing::warn;

/// Reason why what a server sent makes its connection unusable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum ProtocolViolation {
    /// A response names a part that is not in flight.
    #[error("its id is not out")]
    UnexpectedResponse,
    /// Data arrived although no response is expected.
    #[error("nothing is out")]
    UnsolicitedData,
    /// The rest of a frame does not arrive.
    #[error("its end does not come")]
    IncompleteFrame,
    /// A frame could not be decoded.
    #[error(transparent)]
    InvalidFrame(#[from] InvalidFrame),
}

impl ServerPools {
    /// Handles an event of a connection.
    pub fn on_connection_event(
        &mut self,
        now: Micros,
        id: ServerConnectionId,
        event: ConnectionEvent,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.on_event(now);
        match event {
            ConnectionEvent::FrameReceived(ServerMessage::PartResponse(response)) => {
                self.on_response(now, id, response);
            }
            ConnectionEvent::FrameReceived(ServerMessage::FrameRejected(reason)) => {
                warn!(name: "server_connection_rejected", server = %connection.server.0, reason);
            }
            ConnectionEvent::FrameStarted if !connection.expects_response() => {
                self.fail_connection(now, id, &ProtocolViolation::UnsolicitedData);
            }
            ConnectionEvent::FrameStarted => connection.on_partial_frame(now),
            ConnectionEvent::Closed(error) => {
                if !connection.is_idle() {
                    let in_flight = connection.in_flight.len();
                    warn!(
                        name: "server_connection_lost", server = %connection.server.0,
                        error = %error, in_flight
                    );
                }
                self.on_connection_lost(now, id);
            }
            ConnectionEvent::FrameInvalid(invalid) => {
                self.fail_connection(now, id, &invalid.into());
            }
        }
    }

    /// Ends the attempt that a response belongs to.
    fn on_response(&mut self, now: Micros, id: ServerConnectionId, response: PartResponse) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        if let Some(&attempt) = connection.in_flight.get(&response.id) {
            let is_served = response.outcome == Outcome::Served;
            let result = AttemptResult {
                outcome: response.outcome,
                requests_in_flight: response.requests_in_flight,
                value: is_served.then_some(response.value),
            };
            self.end_attempt(now, attempt, result);
            return;
        }
        // A cancelled part may still be responded to; nothing needs that response. Any other one takes the place of
        // a response that is expected and will not arrive.
        if !connection.forget_cancelled(&response.id) {
            self.fail_connection(now, id, &ProtocolViolation::UnexpectedResponse);
        }
    }

    /// Closes a connection on which the server has violated the protocol: whatever follows cannot be relied on.
    ///
    /// If nothing is in flight, this was surplus after a complete response and no attempt fails. Otherwise the
    /// oldest sent attempt ends with an error and may have run. The other sent ones may have run as well, but are
    /// held neither against their server, which has failed only once, nor against their queries, so they end as
    /// cancelled.
    pub(super) fn fail_connection(
        &mut self,
        now: Micros,
        id: ServerConnectionId,
        violation: &ProtocolViolation,
    ) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        warn!(
            name: "server_frame_invalid", server = %connection.server.0, error = %violation,
            in_flight = connection.in_flight.len()
        );
        let unwritten = connection.send_queue.unwritten_parts();
        let mut attempts: Vec<AttemptId> = connection.in_flight.values().copied().collect();
        self.in_flight.sort_by_age(&mut attempts);
        let mut has_failed_attempt = false;
        for attempt in attempts {
            let outcome = if self.is_unwritten(attempt, &unwritten) {
                Outcome::NotSent
            } else if has_failed_attempt {
                Outcome::Cancelled
            } else {
                has_failed_attempt = true;
                Outcome::Error
            };
            self.end_attempt(now, attempt, outcome);
        }
        self.close_connection(id);
    }

    /// Ends all attempts on a connection that has failed, and closes it.
    ///
    /// A part whose frame was not written completely never ran; any other may have run. Attempts that waited on a
    /// connection that had been established do not show whether the server is reachable.
    pub(super) fn on_connection_lost(&mut self, now: Micros, id: ServerConnectionId) {
        let Some(connection) = self.connections.get(&id) else {
            return;
        };
        let unwritten = connection.send_queue.unwritten_parts();
        let was_connected = connection.send_queue.was_connected();
        let attempts: Vec<AttemptId> = connection.in_flight.values().copied().collect();
        for attempt in attempts {
            let outcome = match self.is_unwritten(attempt, &unwritten) {
                true if was_connected => Outcome::NotSent,
                true => Outcome::Unreachable,
                false => Outcome::ConnectionLost,
            };
            self.end_attempt(now, attempt, outcome);
        }
        self.close_connection(id);
    }

    /// Whether the part of an attempt is one of the parts that were not written completely.
    fn is_unwritten(&self, attempt: AttemptId, unwritten: &BTreeSet<String>) -> bool {
        let in_flight = self.in_flight.get(attempt);
        in_flight.is_some_and(|a| unwritten.contains(&a.wire_id))
    }
}
