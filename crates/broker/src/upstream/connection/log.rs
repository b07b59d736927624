//! The events of a connection in the log.

use super::super::attempt::OutgoingAttempt;
use super::super::connection_event::ProtocolViolation;
use super::ServerConnection;
use broker_types::query::AttemptId;
use server_protocol::broker::PartResponse;
use std::io;
use tracing::{debug, warn};

impl ServerConnection {
    /// Logs which attempt a part that is sent on this connection belongs to.
    pub(super) fn log_assigned(&self, outgoing: &OutgoingAttempt) {
        let attempt = outgoing.attempt;
        debug!(
            name: "part_assigned", server_connection = self.id.0, server = %self.server.0,
            part_id = %outgoing.part.wire_id, query = attempt.query.0, attempt = attempt.attempt
        );
    }

    /// Logs which attempt a response was taken for.
    pub(super) fn log_response(&self, response: &PartResponse, attempt: AttemptId) {
        debug!(
            name: "response_received", server_connection = self.id.0, server = %self.server.0,
            part_id = %response.id, outcome = ?response.outcome, query = attempt.query.0,
            attempt = attempt.attempt
        );
    }

    /// Logs that a response to a cancelled part was ignored.
    pub(super) fn log_late_response(&self, response: &PartResponse) {
        debug!(
            name: "late_response_ignored", server_connection = self.id.0,
            server = %self.server.0, part_id = %response.id, outcome = ?response.outcome
        );
    }

    /// Logs that the server has rejected a frame.
    pub(super) fn log_rejection(&self, reason: &str) {
        warn!(name: "server_connection_rejected", server = %self.server.0, reason);
    }

    /// Logs that the connection was closed or could not be opened, if attempts are in flight.
    pub(in crate::upstream) fn log_loss(&self, reason: &io::Error) {
        if !self.is_idle() {
            warn!(
                name: "server_connection_lost", server = %self.server.0,
                error = %reason, in_flight = self.outstanding.in_flight()
            );
        }
    }

    /// Logs a violation of the protocol.
    pub(in crate::upstream) fn log_violation(&self, violation: ProtocolViolation) {
        warn!(
            name: "server_frame_invalid", server = %self.server.0, error = %violation,
            in_flight = self.outstanding.in_flight()
        );
    }
}
