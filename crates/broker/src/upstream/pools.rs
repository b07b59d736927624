//! The interface through which the event loop uses the connections to data servers.
//!
//! [`ServerPools`] composes the [`ConnectionPool`] and the [`AttemptTracker`] and keeps them
//! consistent: when an attempt ends, it is removed from its connection and from the tracker.

use super::attempt::{AttemptOutcome, AttemptResult, EndedAttempt, OutgoingAttempt};
use super::attempt_tracker::{AttemptTracker, Expiry};
use super::connection_event::{FrameEffect, ProtocolViolation};
use super::connection_pool::ConnectionPool;
use super::socket::Connector;
use super::stop::{StopReason, StopResult};
use crate::clock::Clock;
use crate::event_queue::ServerConnectionId;
use crate::event_queue::{ConnectionEvent, EventQueue};
use crate::executor::Executor;
use broker_types::limits::PoolLimits;
use broker_types::query::{AttemptId, PartIndex, QueryId};
use broker_types::server::{NodeId, Outcome};
use broker_types::time::Timestamp;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// The connection pools of all data servers and the attempts in flight on them.
pub struct ServerPools {
    connections: ConnectionPool,
    attempts: AttemptTracker,
    /// Maximum number of parts in one call; at least 1.
    max_parts_per_call: usize,
    /// Served attempts whose values can no longer be relied on, and that have not been taken yet.
    revoked: Vec<AttemptId>,
}

impl ServerPools {
    /// Creates pools without servers. The tasks of the sockets run in `executor` and report to
    /// `event_queue`.
    pub fn new(
        executor: Rc<Executor>,
        event_queue: Rc<EventQueue>,
        clock: Clock,
        limits: PoolLimits,
    ) -> Self {
        let connector = Connector::new(executor, event_queue, clock, &limits);
        ServerPools {
            connections: ConnectionPool::new(limits, connector),
            attempts: AttemptTracker::default(),
            max_parts_per_call: limits.max_parts_per_call.max(1),
            revoked: Vec::new(),
        }
    }

    /// Sets the address of a server. `None` means that the server accepts no further attempts or
    /// was removed. If the server had a different address before, the connections to that address
    /// start to drain, and the attempts on them of which no byte was written end as not sent.
    pub fn set_endpoint(&mut self, now: Timestamp, name: &NodeId, endpoint: Option<SocketAddr>) {
        for attempt in self.connections.set_endpoint(name, endpoint) {
            self.end_attempt(now, attempt, Outcome::NotSent);
        }
    }

    /// Returns the names of all servers that accept attempts.
    #[must_use]
    pub fn serving(&self) -> Vec<NodeId> {
        self.connections.serving().cloned().collect()
    }

    /// Returns the number of connections that are open or being opened.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Sends the attempts of one event loop iteration. Attempts for the same server are combined
    /// into calls. An attempt at a part whose id is outstanding at the server is sent in a call of
    /// its own, because it needs another connection.
    pub fn send_attempts(&mut self, now: Timestamp, attempts: Vec<OutgoingAttempt>) {
        let mut by_server: BTreeMap<NodeId, Vec<OutgoingAttempt>> = BTreeMap::new();
        for attempt in attempts {
            let server = attempt.server.clone();
            by_server.entry(server).or_default().push(attempt);
        }
        for (server, attempts) in by_server {
            let (mut attempts, repeated) = self.separate_outstanding(attempts);
            while !attempts.is_empty() {
                let call_len = attempts.len().min(self.max_parts_per_call);
                let rest = attempts.split_off(call_len);
                self.send_call(now, &server, attempts);
                attempts = rest;
            }
            for attempt in repeated {
                self.send_call(now, &server, vec![attempt]);
            }
        }
    }

    /// Separates the attempts for one server into those at parts whose ids are not outstanding
    /// there and the others. Of several attempts at the same part, only the first is not
    /// outstanding.
    fn separate_outstanding(
        &self,
        attempts: Vec<OutgoingAttempt>,
    ) -> (Vec<OutgoingAttempt>, Vec<OutgoingAttempt>) {
        let mut wire_ids = BTreeSet::new();
        attempts.into_iter().partition(|outgoing| {
            wire_ids.insert(outgoing.part.wire_id.clone())
                && !self.connections.is_outstanding(outgoing)
        })
    }

    /// Sends attempts to one server in one call. If no connection is available, they end
    /// immediately as unreachable.
    fn send_call(&mut self, now: Timestamp, server: &NodeId, attempts: Vec<OutgoingAttempt>) {
        let Some(connection) = self.connections.acquire(now, server, &attempts) else {
            for outgoing in attempts {
                self.attempts
                    .end_unassigned(outgoing.attempt, Outcome::Unreachable);
            }
            return;
        };
        let mut parts = Vec::with_capacity(attempts.len());
        for outgoing in attempts {
            if let Some(assignment) = connection.try_assign(now, &outgoing) {
                self.attempts.track(&outgoing, assignment);
                parts.push(outgoing.part);
            } else {
                self.attempts
                    .end_unassigned(outgoing.attempt, Outcome::NotSent);
            }
        }
        connection.send_call(parts);
    }

    /// Cancels an attempt, also on the server if any byte of its part was written.
    pub fn cancel(&mut self, now: Timestamp, attempt: AttemptId) {
        self.stop_waiting(now, attempt, StopReason::Cancelled);
    }

    /// Withdraws the unsent attempts of a query that has ended, or only those at `part` if that
    /// part was served. This is permitted even where the settings forbid cancelling sent attempts,
    /// because a withdrawn attempt never reaches a server.
    pub fn cancel_unsent(&mut self, now: Timestamp, query: QueryId, part: Option<PartIndex>) {
        for attempt in self.attempts.attempts_of_query(query, part) {
            self.withdraw_unsent(now, attempt);
        }
    }

    /// Ends the attempts whose deadlines have been reached by `now`, then removes and returns all
    /// ended attempts.
    ///
    /// Each event loop iteration must call this before the policy runs. The policy ends a query at
    /// the same time at which the query's attempts time out, and then cancels them. If it ran
    /// first, the attempts would end as cancelled, no time-out would be reported, and the policy
    /// could not detect servers that do not respond.
    pub fn take_ended_attempts(&mut self, now: Timestamp) -> Vec<EndedAttempt> {
        while let Some(expiry) = self.attempts.next_expired(now) {
            match expiry {
                Expiry::SendPeriodOver(attempt) => self.withdraw_unsent(now, attempt),
                Expiry::DeadlineReached(attempt) => {
                    self.stop_waiting(now, attempt, StopReason::TimedOut);
                }
            }
        }
        self.attempts.take_ended()
    }

    /// Removes and returns the attempts that ended as served and whose values can no longer be relied
    /// on, because their servers have violated the protocol directly behind them. A query that has
    /// not been answered yet must not be answered with such a value.
    pub fn take_revoked(&mut self) -> Vec<AttemptId> {
        std::mem::take(&mut self.revoked)
    }

    /// Returns whether there are ended attempts that have not been taken yet.
    #[must_use]
    pub fn has_ended_attempts(&self) -> bool {
        self.attempts.has_ended()
    }

    /// Handles an event of a connection. Events of a closed connection are ignored.
    pub fn on_connection_event(
        &mut self,
        now: Timestamp,
        id: ServerConnectionId,
        event: ConnectionEvent,
    ) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        match event {
            ConnectionEvent::DataReceived => {
                connection.on_data_received(now);
                self.handle_frames(now, id);
            }
            ConnectionEvent::Closed(reason) => {
                connection.log_loss(&reason);
                self.on_connection_lost(now, id);
            }
        }
    }

    /// Handles the received frames of a connection, up to the first one after which the connection
    /// is closed.
    fn handle_frames(&mut self, now: Timestamp, id: ServerConnectionId) {
        while let Some(connection) = self.connections.get_mut(id) {
            match connection.next_effect(now) {
                FrameEffect::Continue => {}
                FrameEffect::AwaitData => return,
                FrameEffect::EndAttempt { attempt, response } => {
                    self.end_attempt(now, attempt, response);
                }
                FrameEffect::ConnectionLost => self.on_connection_lost(now, id),
                FrameEffect::ProtocolViolated { violation, revoked } => {
                    self.revoked.extend(revoked);
                    self.fail_connection(now, id, violation);
                }
            }
        }
    }

    /// Closes the idle connections that are draining or were not used for the maximum idle time,
    /// and the connections on which an incomplete frame has not grown for the maximum stall time.
    pub fn close_expired_connections(&mut self, now: Timestamp) {
        self.connections.close_expired(now);
        for id in self.connections.stalled(now) {
            self.fail_connection(now, id, ProtocolViolation::IncompleteFrame);
        }
    }

    /// Returns the earliest time at which an attempt reaches a time limit or a connection counts as
    /// stalled, or `None` if there is none.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let deadlines = [
            self.attempts.next_check(),
            self.connections.next_stall_deadline(),
        ];
        deadlines.into_iter().flatten().min()
    }

    /// Withdraws an attempt and ends it as not sent, unless any byte of its part was written.
    fn withdraw_unsent(&mut self, now: Timestamp, attempt: AttemptId) {
        let assignment = self.attempts.assignment(attempt);
        if assignment.is_some_and(|assignment| self.connections.try_withdraw(assignment)) {
            self.end_attempt(now, attempt, Outcome::NotSent);
        }
    }

    /// Ends an attempt that was cancelled or timed out, and cancels it on the server if any byte of
    /// its part was written.
    fn stop_waiting(&mut self, now: Timestamp, attempt: AttemptId, reason: StopReason) {
        let Some(assignment) = self.attempts.assignment(attempt) else {
            return;
        };
        let connection = assignment.connection();
        match self.connections.stop_waiting(now, assignment, reason) {
            StopResult::KeepConnection(outcome) => self.end_attempt(now, attempt, outcome),
            StopResult::CloseConnection(outcome) => {
                self.end_attempt(now, attempt, outcome);
                self.on_connection_lost(now, connection);
            }
        }
    }

    /// Ends an attempt, and removes it from its connection. Every assigned attempt ends here and
    /// nowhere else.
    fn end_attempt(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        result: impl Into<AttemptResult>,
    ) {
        if let Some(assignment) = self.attempts.end(now, attempt, result.into()) {
            self.connections.release(now, &assignment);
        }
    }

    /// Removes a connection that was lost, and ends all its attempts.
    fn on_connection_lost(&mut self, now: Timestamp, id: ServerConnectionId) {
        if let Some(connection) = self.connections.remove(id) {
            self.end_attempts(now, connection.outcomes_after_loss());
        }
    }

    /// Closes a connection on which the server has violated the protocol, because nothing that the
    /// server sends afterwards can be relied on. Ends all attempts on the connection.
    fn fail_connection(
        &mut self,
        now: Timestamp,
        id: ServerConnectionId,
        violation: ProtocolViolation,
    ) {
        let Some(connection) = self.connections.remove(id) else {
            return;
        };
        connection.log_violation(violation);
        let oldest_first = self.attempts.sorted_oldest_first(connection.attempts());
        self.end_attempts(now, connection.outcomes_after_violation(oldest_first));
    }

    fn end_attempts(&mut self, now: Timestamp, outcomes: Vec<AttemptOutcome>) {
        for AttemptOutcome { attempt, outcome } in outcomes {
            self.end_attempt(now, attempt, outcome);
        }
    }

    /// Returns the connections.
    #[cfg(test)]
    pub(super) fn connections(&self) -> &ConnectionPool {
        &self.connections
    }

    /// Returns the tracked attempts.
    #[cfg(test)]
    pub(super) fn attempts(&self) -> &AttemptTracker {
        &self.attempts
    }
}
