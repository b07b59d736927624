//! One connection to a data server: the attempts assigned to it and their outcomes.
//!
//! [`ServerConnection`] decides on the outcomes of its attempts from what was written and received.
//! The socket is served by a task of its own: see [`SocketHandle`].
//!
//! - `log`: the events of a connection in the log;
//! - `outcomes`: the outcomes of all attempts in flight when the connection fails.

mod log;
mod outcomes;

use super::assignment::Assignment;
use super::attempt::{OutgoingAttempt, OutgoingPart};
use super::connection_event::{FrameEffect, ProtocolViolation};
use super::outstanding_parts::OutstandingParts;
use super::receive_buffer::{ReceiveBuffer, ReceivedMessage};
use super::receive_progress::ReceiveProgress;
use super::send_queue::{OutgoingFrame, SendQueue};
use super::socket::SocketHandle;
use super::stop::{StopReason, StopResult};
use super::timeouts::ConnectionTimeouts;
use crate::event_queue::ServerConnectionId;
use broker_types::query::AttemptId;
use broker_types::server::{NodeId, Outcome};
use broker_types::time::Timestamp;
use server_protocol::broker::{PartResponse, ServerMessage};
use std::rc::Rc;

/// Order of connections by their use: first by the number of attempts in flight, then by the time
/// of the last use. The minimum is therefore the connection that has been idle for longest, if any
/// connection is idle.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionUsage {
    in_flight: usize,
    last_used: Timestamp,
}

/// A connection to a data server, open or being opened.
pub(super) struct ServerConnection {
    id: ServerConnectionId,
    server: NodeId,
    /// Handle of the socket. Dropping it closes the socket.
    socket: SocketHandle,
    outstanding: OutstandingParts,
    /// Attempt that was served by the last received frame. Its value is confirmed when the next
    /// frame starts directly behind that frame.
    unconfirmed: Option<AttemptId>,
    progress: ReceiveProgress,
    /// Time at which an attempt was last assigned to this connection or last ended on it.
    last_used: Timestamp,
    /// Whether the connection accepts no further attempts and is closed once it is idle.
    is_draining: bool,
}

impl ServerConnection {
    /// Creates a connection to `server` whose socket starts to open at the time `now`.
    pub(super) fn new(
        now: Timestamp,
        id: ServerConnectionId,
        server: NodeId,
        socket: SocketHandle,
    ) -> Self {
        ServerConnection {
            id,
            server,
            socket,
            outstanding: OutstandingParts::default(),
            unconfirmed: None,
            progress: ReceiveProgress::new(now),
            last_used: now,
            is_draining: false,
        }
    }

    /// Returns the id of the connection.
    pub(super) fn id(&self) -> ServerConnectionId {
        self.id
    }

    /// Returns the server that the connection leads to.
    pub(super) fn server(&self) -> &NodeId {
        &self.server
    }

    /// Returns the queue of the frames to be written.
    pub(super) fn send_queue(&self) -> &Rc<SendQueue> {
        self.socket.send_queue()
    }

    /// Returns the received bytes that have not been decoded yet.
    pub(super) fn receive_buffer(&self) -> &ReceiveBuffer {
        self.socket.receive_buffer()
    }

    /// Returns whether no attempt is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.outstanding.in_flight() == 0
    }

    /// Returns the key by which connections are ordered from the least to the most used.
    pub(super) fn usage(&self) -> ConnectionUsage {
        ConnectionUsage {
            in_flight: self.outstanding.in_flight(),
            last_used: self.last_used,
        }
    }

    /// Returns whether the parts of a call may be sent on this connection if at most
    /// `max_in_flight` parts may be in flight: it is not draining, and no response to a part with
    /// the id of one of these parts is outstanding.
    pub(super) fn accepts(&self, call: &[OutgoingAttempt], max_in_flight: usize) -> bool {
        !self.is_draining
            && self.outstanding.in_flight() + call.len() <= max_in_flight
            && !call.iter().any(|part| self.is_outstanding(part))
    }

    /// Returns whether a response to a part with the id of this attempt's part is outstanding.
    pub(super) fn is_outstanding(&self, outgoing: &OutgoingAttempt) -> bool {
        self.outstanding.contains(&outgoing.part.wire_id)
    }

    /// Returns the attempts in flight, ordered by the ids of their parts in the frames.
    pub(super) fn attempts(&self) -> impl Iterator<Item = AttemptId> {
        self.outstanding.attempts()
    }

    /// Assigns an attempt to this connection. The caller sends its part with
    /// [`ServerConnection::send_call`]. Returns `None` if a response to a part with the same id is
    /// outstanding.
    pub(super) fn try_assign(
        &mut self,
        now: Timestamp,
        outgoing: &OutgoingAttempt,
    ) -> Option<Assignment> {
        if !self.outstanding.try_insert(outgoing) {
            return None;
        }
        self.log_assigned(outgoing);
        self.last_used = now;
        let wire_id = outgoing.part.wire_id.clone();
        Some(Assignment::new(self.id, wire_id, now))
    }

    /// Queues one call with these parts to be written.
    pub(super) fn send_call(&self, parts: Vec<OutgoingPart>) {
        self.send_queue().push(OutgoingFrame::Call(parts));
    }

    /// Removes an ended attempt from the attempts in flight. Its part stays outstanding if it was
    /// cancelled after any byte of it was written.
    pub(super) fn release(&mut self, now: Timestamp, assignment: &Assignment) {
        self.outstanding.remove_in_flight(assignment.wire_id());
        self.last_used = now;
    }

    /// Starts to drain the connection: it accepts no further attempts. Withdraws the attempts of
    /// which no byte was written, and returns them. The other attempts continue.
    pub(super) fn start_draining(&mut self) -> Vec<AttemptId> {
        self.is_draining = true;
        let withdrawn = self.send_queue().withdraw_all();
        withdrawn
            .iter()
            .filter_map(|wire_id| self.outstanding.attempt(wire_id))
            .collect()
    }

    /// Withdraws the part of an attempt unless any byte of it was written. Returns whether the part
    /// was withdrawn.
    pub(super) fn try_withdraw(&self, assignment: &Assignment) -> bool {
        self.send_queue().try_withdraw(assignment.wire_id())
    }

    /// Stops waiting for the response to an attempt. Withdraws its part, or cancels it on the
    /// server if any byte of it was written. The caller ends the attempt.
    ///
    /// Starts to drain the connection if the attempt was assigned at least the maximum silence ago
    /// and nothing was received since then: the link to the server may be severed. Also starts to
    /// drain it if too many cancelled parts have no response.
    pub(super) fn stop_waiting(
        &mut self,
        now: Timestamp,
        assignment: &Assignment,
        reason: StopReason,
        timeouts: &ConnectionTimeouts,
    ) -> StopResult {
        if self.try_withdraw(assignment) {
            return self.result_of_withdrawn(reason);
        }
        let wire_id = assignment.wire_id();
        self.outstanding.cancel(wire_id);
        self.send_queue()
            .push(OutgoingFrame::Cancel(wire_id.clone()));
        let is_silent = self.progress.is_silent_since(assignment.assigned_at())
            && assignment.elapsed(now) >= timeouts.max_silence();
        if is_silent || self.outstanding.has_max_cancelled() {
            self.is_draining = true;
        }
        // A blocked socket does not pass the cancellation on to the server.
        if self.send_queue().is_blocked() {
            StopResult::CloseConnection(reason.into())
        } else {
            StopResult::KeepConnection(reason.into())
        }
    }

    /// Returns the result for an attempt whose part was withdrawn and therefore never ran.
    ///
    /// An attempt that timed out ends as unreachable if the socket accepts no data or the
    /// connection was not established. Otherwise it ends as not sent, which says nothing about the
    /// server.
    fn result_of_withdrawn(&self, reason: StopReason) -> StopResult {
        match reason {
            StopReason::Cancelled => StopResult::KeepConnection(Outcome::Cancelled),
            StopReason::TimedOut if self.send_queue().is_blocked() => {
                StopResult::CloseConnection(Outcome::Unreachable)
            }
            StopReason::TimedOut if self.send_queue().was_connected() => {
                StopResult::KeepConnection(Outcome::NotSent)
            }
            StopReason::TimedOut => StopResult::KeepConnection(Outcome::Unreachable),
        }
    }

    /// Records that the socket task has reported received data. The caller handles the frames with
    /// [`ServerConnection::next_effect`].
    pub(super) fn on_data_received(&mut self, now: Timestamp) {
        self.progress.on_data(now);
        self.receive_buffer().clear_received();
    }

    /// Handles the next received frame and returns what the caller must do.
    pub(super) fn next_effect(&mut self, now: Timestamp) -> FrameEffect {
        match self.receive_buffer().next_message() {
            Ok(Some(received)) => self.on_message(received),
            Ok(None) => self.on_all_frames_handled(now),
            Err(invalid) => FrameEffect::ProtocolViolated {
                violation: invalid.into(),
                revoked: self.revoke_unconfirmed(),
            },
        }
    }

    /// Handles the message of a frame.
    fn on_message(&mut self, received: ReceivedMessage) -> FrameEffect {
        self.unconfirmed = None;
        match received.message {
            ServerMessage::PartResponse(response) => {
                self.on_response(response, received.may_be_incomplete)
            }
            ServerMessage::FrameRejected(reason) => {
                self.log_rejection(&reason);
                FrameEffect::ConnectionLost
            }
        }
    }

    /// Handles a response: finds the attempt that it belongs to.
    ///
    /// The response to a cancelled part may still arrive and is ignored. A response to any other
    /// part violates the protocol. The server may have sent it in place of the response to one of
    /// the parts in flight, which would then never arrive.
    ///
    /// A response whose value may be incomplete is not used. The server may have sent a complete one
    /// and text behind it that does not belong to it, but the broker cannot tell the difference.
    fn on_response(&mut self, response: PartResponse, may_be_incomplete: bool) -> FrameEffect {
        if let Some(attempt) = self.outstanding.attempt(&response.id) {
            if may_be_incomplete {
                return ProtocolViolation::IncompleteValue.into();
            }
            self.unconfirmed = (response.outcome == Outcome::Served).then_some(attempt);
            self.log_response(&response, attempt);
            FrameEffect::EndAttempt { attempt, response }
        } else if self.outstanding.remove_cancelled(&response.id) {
            self.log_late_response(&response);
            FrameEffect::Continue
        } else {
            ProtocolViolation::UnexpectedResponse.into()
        }
    }

    /// Returns the attempt that the last frame has served if the bytes behind that frame, which have
    /// arrived later, may be the rest of its value.
    fn revoke_unconfirmed(&mut self) -> Option<AttemptId> {
        let attempt = self.unconfirmed.take()?;
        self.receive_buffer()
            .may_continue_value()
            .then_some(attempt)
    }

    /// Determines the effect of the bytes after the last complete frame. The start of another frame
    /// violates the protocol if no response is outstanding.
    fn on_all_frames_handled(&mut self, now: Timestamp) -> FrameEffect {
        if self.receive_buffer().is_empty() {
            return FrameEffect::AwaitData;
        }
        if self.outstanding.is_empty() {
            return ProtocolViolation::UnsolicitedData.into();
        }
        self.progress.on_partial_frame(now);
        FrameEffect::AwaitData
    }

    /// Returns whether the connection is idle and must be closed, because it is draining or was not
    /// used for the maximum idle time.
    pub(super) fn is_expired(&self, now: Timestamp, timeouts: &ConnectionTimeouts) -> bool {
        let is_unused = now.saturating_since(self.last_used) >= timeouts.max_idle();
        self.is_idle() && (self.is_draining || is_unused)
    }

    /// Returns whether an incomplete frame has not grown for the maximum stall time.
    pub(super) fn is_stalled(&self, now: Timestamp, timeouts: &ConnectionTimeouts) -> bool {
        self.progress.is_stalled(now, timeouts.max_stall())
    }

    /// Returns the time at which the connection counts as stalled unless its incomplete frame
    /// grows, or `None` if there is no incomplete frame.
    pub(super) fn stall_deadline(&self, timeouts: &ConnectionTimeouts) -> Option<Timestamp> {
        self.progress.stall_deadline(timeouts.max_stall())
    }
}
