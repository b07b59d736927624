//! One connection to a data server: the attempts assigned to it, and what its events mean for them.
//!
//! [`ServerConnection`] decides on the outcomes of its attempts from what was written and received.
//! Its socket is served by a task of its own: see [`SocketHandle`].

use super::assignment::Assignment;
use super::attempt::{AttemptEnd, OutgoingAttempt, OutgoingPart};
use super::cancelled_parts::CancelledParts;
use super::connection_event::{EventEffect, ProtocolViolation};
use super::receive_progress::ReceiveProgress;
use super::send_queue::{OutgoingFrame, SendQueue};
use super::socket::SocketHandle;
use super::timeouts::ConnectionTimeouts;
use crate::event_queue::ConnectionEvent;
use crate::event_queue::ServerConnectionId;
use broker_types::query::AttemptId;
use broker_types::server::{NodeId, Outcome};
use broker_types::time::Timestamp;
use server_protocol::broker::{PartResponse, ServerMessage};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use tracing::warn;

/// Why the response to an attempt is no longer awaited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopReason {
    /// The attempt was cancelled.
    Cancelled,
    /// The attempt's deadline has been reached.
    TimedOut,
}

impl From<StopReason> for Outcome {
    /// The outcome of a sent attempt.
    fn from(reason: StopReason) -> Self {
        match reason {
            StopReason::Cancelled => Outcome::Cancelled,
            StopReason::TimedOut => Outcome::TimedOut,
        }
    }
}

/// Outcome of an attempt whose response is no longer awaited, and what it shows about its
/// connection.
pub(super) enum Stopped {
    /// The attempt ends; the connection is kept.
    KeepConnection(Outcome),
    /// The attempt ends, and afterwards the connection must be closed: nothing can be written to
    /// it, so that a further attempt at the part could run beside this one, or wait behind the same
    /// socket.
    CloseConnection(Outcome),
}

/// How much a connection is in use. The least is that of an idle connection, and of these of the
/// one that has been idle for longest.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct ConnectionUse {
    in_flight: usize,
    last_used: Timestamp,
}

/// A connection to a data server, open or being opened.
pub(super) struct ServerConnection {
    id: ServerConnectionId,
    server: NodeId,
    /// The socket. Dropping it closes it.
    socket: SocketHandle,
    /// Attempts in flight on this connection by the id of their part on the wire.
    in_flight: BTreeMap<String, AttemptId>,
    cancelled: CancelledParts,
    progress: ReceiveProgress,
    /// When an attempt was last sent or last ended here.
    last_used: Timestamp,
    /// Whether it accepts no further attempts and is closed once none is in flight.
    is_draining: bool,
}

impl ServerConnection {
    /// A connection to a server whose socket begins to open now.
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
            in_flight: BTreeMap::new(),
            cancelled: CancelledParts::default(),
            progress: ReceiveProgress::new(now),
            last_used: now,
            is_draining: false,
        }
    }

    /// Number of the connection.
    pub(super) fn id(&self) -> ServerConnectionId {
        self.id
    }

    /// Server that the connection leads to.
    pub(super) fn server(&self) -> &NodeId {
        &self.server
    }

    /// The frames to be written.
    pub(super) fn send_queue(&self) -> &Rc<SendQueue> {
        self.socket.send_queue()
    }

    /// Whether no attempt is in flight.
    pub(super) fn is_idle(&self) -> bool {
        self.in_flight.is_empty()
    }

    /// How much the connection is in use.
    pub(super) fn usage(&self) -> ConnectionUse {
        ConnectionUse {
            in_flight: self.in_flight.len(),
            last_used: self.last_used,
        }
    }

    /// Whether `parts` more parts may be sent, of which at most `max_in_flight` may be in flight.
    pub(super) fn has_capacity(&self, parts: usize, max_in_flight: usize) -> bool {
        !self.is_draining && self.in_flight.len() + parts <= max_in_flight
    }

    /// The attempts in flight, in the order of the ids of their parts on the wire.
    pub(super) fn attempts(&self) -> impl Iterator<Item = AttemptId> {
        self.in_flight.values().copied()
    }

    /// Assigns an attempt to this connection. Its part is sent with
    /// [`ServerConnection::send_call`].
    pub(super) fn assign(&mut self, now: Timestamp, outgoing: &OutgoingAttempt) -> Assignment {
        let wire_id = outgoing.part.wire_id.clone();
        self.last_used = now;
        self.in_flight.insert(wire_id.clone(), outgoing.attempt);
        Assignment::new(self.id, wire_id, now)
    }

    /// Sends parts in one call.
    pub(super) fn send_call(&self, parts: Vec<OutgoingPart>) {
        self.send_queue().push(OutgoingFrame::Call(parts));
    }

    /// Releases the place of an attempt that has ended.
    pub(super) fn release(&mut self, now: Timestamp, assignment: &Assignment) {
        self.in_flight.remove(assignment.wire_id());
        self.last_used = now;
    }

    /// Accepts no further attempts from now on. Returns the attempts that are withdrawn because
    /// they were not sent; the others may finish.
    pub(super) fn start_draining(&mut self) -> Vec<AttemptId> {
        self.is_draining = true;
        let withdrawn = self.send_queue().withdraw_all();
        withdrawn
            .iter()
            .filter_map(|wire_id| self.in_flight.get(wire_id).copied())
            .collect()
    }

    /// Withdraws the part of an attempt, unless any of its bytes was written. Returns whether it is
    /// withdrawn.
    pub(super) fn try_withdraw(&self, assignment: &Assignment) -> bool {
        self.send_queue().try_withdraw(assignment.wire_id())
    }

    /// Stops waiting for the response to an attempt: withdraws its part, or cancels it on the
    /// server if it was written. The caller ends the attempt.
    pub(super) fn stop_waiting(
        &mut self,
        now: Timestamp,
        assignment: &Assignment,
        reason: StopReason,
        timeouts: &ConnectionTimeouts,
    ) -> Stopped {
        if self.try_withdraw(assignment) {
            return self.stop_unsent(reason);
        }
        let wire_id = assignment.wire_id().to_owned();
        self.cancelled.insert(wire_id.clone());
        self.socket
            .send_queue()
            .push(OutgoingFrame::Cancel(wire_id));
        let is_silent = self.progress.is_silent_since(assignment.assigned_at());
        if is_silent && assignment.elapsed(now) >= timeouts.silence() {
            self.is_draining = true;
        }
        // The cancellation does not get through a blocked socket.
        if self.send_queue().is_blocked() {
            Stopped::CloseConnection(reason.into())
        } else {
            Stopped::KeepConnection(reason.into())
        }
    }

    /// Outcome of an attempt whose part was withdrawn, so that it never ran. If it timed out
    /// because the connection was not established or its socket accepts nothing, the server counts
    /// as unreachable.
    fn stop_unsent(&self, reason: StopReason) -> Stopped {
        match reason {
            StopReason::Cancelled => Stopped::KeepConnection(Outcome::Cancelled),
            StopReason::TimedOut if self.send_queue().is_blocked() => {
                Stopped::CloseConnection(Outcome::Unreachable)
            }
            StopReason::TimedOut if self.send_queue().was_connected() => {
                Stopped::KeepConnection(Outcome::NotSent)
            }
            StopReason::TimedOut => Stopped::KeepConnection(Outcome::Unreachable),
        }
    }

    /// Handles an event that the socket task has reported.
    pub(super) fn on_event(&mut self, now: Timestamp, event: ConnectionEvent) -> EventEffect {
        self.progress.on_event(now);
        match event {
            ConnectionEvent::FrameReceived(ServerMessage::PartResponse(response)) => {
                self.on_response(response)
            }
            ConnectionEvent::FrameReceived(ServerMessage::FrameRejected(reason)) => {
                warn!(name: "server_connection_rejected", server = %self.server.0, reason);
                EventEffect::Continue
            }
            ConnectionEvent::FrameStarted => self.on_partial_frame(now),
            ConnectionEvent::Closed(error) => {
                if !self.is_idle() {
                    warn!(
                        name: "server_connection_lost", server = %self.server.0,
                        error = %error, in_flight = self.in_flight.len()
                    );
                }
                EventEffect::ConnectionLost
            }
            ConnectionEvent::FrameInvalid(invalid) => EventEffect::ProtocolViolated(invalid.into()),
        }
    }

    /// Assigns a response to its attempt. A cancelled part may still be responded to; nothing needs
    /// that response. Any other one takes the place of a response that is expected and will not
    /// arrive.
    fn on_response(&mut self, response: PartResponse) -> EventEffect {
        if let Some(&attempt) = self.in_flight.get(&response.id) {
            EventEffect::Respond { attempt, response }
        } else if self.cancelled.remove(&response.id) {
            EventEffect::Continue
        } else {
            EventEffect::ProtocolViolated(ProtocolViolation::UnexpectedResponse)
        }
    }

    fn on_partial_frame(&mut self, now: Timestamp) -> EventEffect {
        if self.is_idle() && self.cancelled.is_empty() {
            return EventEffect::ProtocolViolated(ProtocolViolation::UnsolicitedData);
        }
        self.progress.on_partial_frame(now);
        EventEffect::Continue
    }

    /// Logs a violation of the protocol.
    pub(super) fn log_violation(&self, violation: ProtocolViolation) {
        warn!(
            name: "server_frame_invalid", server = %self.server.0, error = %violation,
            in_flight = self.in_flight.len()
        );
    }

    /// The ends of all attempts after the connection was lost.
    ///
    /// A part whose frame was not written completely never ran; any other may have run. Attempts
    /// that waited on a connection that had been established do not show whether the server is
    /// reachable.
    pub(super) fn ends_after_loss(&self) -> Vec<AttemptEnd> {
        let unwritten = self.unwritten_attempts();
        let outcome_of_unwritten = if self.send_queue().was_connected() {
            Outcome::NotSent
        } else {
            Outcome::Unreachable
        };
        let end = |attempt| {
            let outcome = if unwritten.contains(&attempt) {
                outcome_of_unwritten
            } else {
                Outcome::ConnectionLost
            };
            AttemptEnd { attempt, outcome }
        };
        self.attempts().map(end).collect()
    }

    /// The ends of all attempts after the server has violated the protocol. `oldest_first` are all
    /// attempts in flight, in the order in which they were assigned.
    ///
    /// If nothing is in flight, this was surplus after a complete response and no attempt fails.
    /// Otherwise the oldest sent attempt ends with an error and may have run. The other sent ones
    /// may have run as well, but are held neither against their server, which has failed only once,
    /// nor against their queries, so they end as cancelled.
    pub(super) fn ends_after_violation(&self, oldest_first: Vec<AttemptId>) -> Vec<AttemptEnd> {
        let unwritten = self.unwritten_attempts();
        let mut outcome_of_sent = Outcome::Error;
        let end = |attempt| {
            let outcome = if unwritten.contains(&attempt) {
                Outcome::NotSent
            } else {
                std::mem::replace(&mut outcome_of_sent, Outcome::Cancelled)
            };
            AttemptEnd { attempt, outcome }
        };
        oldest_first.into_iter().map(end).collect()
    }

    /// The attempts in flight whose frames were not written completely.
    fn unwritten_attempts(&self) -> BTreeSet<AttemptId> {
        let unwritten = self.send_queue().unwritten_parts();
        let wire_ids = unwritten.iter();
        wire_ids
            .filter_map(|wire_id| self.in_flight.get(wire_id).copied())
            .collect()
    }

    /// Whether the connection is idle, and draining or unused for too long.
    pub(super) fn is_expired(&self, now: Timestamp, timeouts: &ConnectionTimeouts) -> bool {
        let is_unused = now.saturating_since(self.last_used) >= timeouts.max_idle();
        self.is_idle() && (self.is_draining || is_unused)
    }

    /// Whether an incomplete frame has made no progress for too long.
    pub(super) fn is_stalled(&self, now: Timestamp, timeouts: &ConnectionTimeouts) -> bool {
        self.progress.is_stalled(now, timeouts.stall())
    }

    /// When an incomplete frame will have made no progress for too long, while there is one.
    pub(super) fn stalls_at(&self, timeouts: &ConnectionTimeouts) -> Option<Timestamp> {
        self.progress.stalls_at(timeouts.stall())
    }
}
