//! The pools of all data servers, as the event loop uses them.
//!
//! [`ServerPools`] composes the [`ConnectionPool`] and the [`AttemptTracker`]: whatever ends an
//! attempt on the one side is passed on to the other.

use super::attempt::{AttemptEnd, AttemptResult, EndedAttempt, OutgoingAttempt};
use super::attempt_tracker::{AttemptTracker, Expiry};
use super::connection::{StopReason, Stopped};
use super::connection_event::{EventEffect, ProtocolViolation};
use super::connection_pool::ConnectionPool;
use super::socket::Connector;
use crate::clock::Clock;
use crate::event_queue::ServerConnectionId;
use crate::event_queue::{ConnectionEvent, EventQueue};
use async_executor::LocalExecutor;
use broker_types::limits::PoolLimits;
use broker_types::query::{AttemptId, PartIndex, QueryId};
use broker_types::server::{NodeId, Outcome};
use broker_types::time::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

/// The connection pools of all data servers and the attempts in flight on them.
pub struct ServerPools {
    connections: ConnectionPool,
    attempts: AttemptTracker,
    /// Most parts in one call; at least one.
    max_parts_per_call: usize,
}

impl ServerPools {
    /// Pools without servers.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        event_queue: Rc<EventQueue>,
        clock: Clock,
        limits: PoolLimits,
    ) -> Self {
        let connector = Connector::new(executor, event_queue, clock, limits.dial_timeout);
        ServerPools {
            connections: ConnectionPool::new(limits, connector),
            attempts: AttemptTracker::default(),
            max_parts_per_call: limits.max_parts_per_call.max(1),
        }
    }

    /// Sets the address of a server; `None`: it accepts no further attempts, or was removed. If the
    /// address changes, the connections to the old one are drained and unsent attempts on them end
    /// as not sent.
    pub fn set_endpoint(&mut self, now: Timestamp, name: &NodeId, endpoint: Option<SocketAddr>) {
        for attempt in self.connections.set_endpoint(name, endpoint) {
            self.end_attempt(now, attempt, Outcome::NotSent);
        }
    }

    /// Names of all servers that accept attempts.
    #[must_use]
    pub fn serving(&self) -> Vec<NodeId> {
        self.connections.serving().cloned().collect()
    }

    /// Number of connections, open or being opened.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Sends the attempts of one iteration of the event loop. Those for one server are combined
    /// into calls.
    pub fn send_attempts(&mut self, now: Timestamp, attempts: Vec<OutgoingAttempt>) {
        let mut by_server: BTreeMap<NodeId, Vec<OutgoingAttempt>> = BTreeMap::new();
        for attempt in attempts {
            let server = attempt.server.clone();
            by_server.entry(server).or_default().push(attempt);
        }
        for (server, mut attempts) in by_server {
            while !attempts.is_empty() {
                let call_len = attempts.len().min(self.max_parts_per_call);
                let rest = attempts.split_off(call_len);
                self.send_call(now, &server, attempts);
                attempts = rest;
            }
        }
    }

    /// Sends attempts to one server in one call. They end at once if no connection is available.
    fn send_call(&mut self, now: Timestamp, server: &NodeId, attempts: Vec<OutgoingAttempt>) {
        let Some(connection) = self.connections.acquire(now, server, attempts.len()) else {
            for outgoing in attempts {
                self.attempts
                    .end_unassigned(outgoing.attempt, Outcome::Unreachable);
            }
            return;
        };
        for outgoing in &attempts {
            let assignment = connection.assign(now, outgoing);
            self.attempts.track(outgoing, assignment);
        }
        let parts = attempts.into_iter().map(|outgoing| outgoing.part);
        connection.send_call(parts.collect());
    }

    /// Cancels an attempt, on the server too if it was sent.
    pub fn cancel(&mut self, now: Timestamp, attempt: AttemptId) {
        self.stop_waiting(now, attempt, StopReason::Cancelled);
    }

    /// Withdraws the unsent attempts of a query that has ended, or those at one part of it that was
    /// served. None of them reaches a server, so this is permitted also where sent attempts may not
    /// be cancelled.
    pub fn cancel_unsent(&mut self, now: Timestamp, query: QueryId, part: Option<PartIndex>) {
        for attempt in self.attempts.of_query(query, part) {
            self.withdraw_unsent(now, attempt);
        }
    }

    /// Takes the attempts that have ended, including those whose deadline is reached by now.
    ///
    /// Each iteration of the event loop begins with this: the policy ends a query at the moment at
    /// which its attempts time out, and would otherwise cancel them first, so that no time-out was
    /// ever reported and silent servers remained undetected.
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

    /// Whether attempts have ended that were not taken.
    #[must_use]
    pub fn has_ended_attempts(&self) -> bool {
        self.attempts.has_ended()
    }

    /// Handles an event of a connection. Those of a closed connection are ignored.
    pub fn on_connection_event(
        &mut self,
        now: Timestamp,
        id: ServerConnectionId,
        event: ConnectionEvent,
    ) {
        let Some(connection) = self.connections.get_mut(id) else {
            return;
        };
        match connection.on_event(now, event) {
            EventEffect::Continue => {}
            EventEffect::Respond { attempt, response } => self.end_attempt(now, attempt, response),
            EventEffect::ConnectionLost => self.on_connection_lost(now, id),
            EventEffect::ProtocolViolated(violation) => self.fail_connection(now, id, violation),
        }
    }

    /// Closes connections that are idle for too long, that are draining and idle, or on which an
    /// incomplete frame has made no progress for too long.
    pub fn close_expired_connections(&mut self, now: Timestamp) {
        self.connections.close_expired(now);
        for id in self.connections.stalled(now) {
            self.fail_connection(now, id, ProtocolViolation::IncompleteFrame);
        }
    }

    /// The next time at which an attempt is due or an incomplete frame is overdue, if there is one.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let deadlines = [self.attempts.next_check(), self.connections.next_stall()];
        deadlines.into_iter().flatten().min()
    }

    /// Ends an attempt as not sent if none of its bytes was written.
    fn withdraw_unsent(&mut self, now: Timestamp, attempt: AttemptId) {
        let assignment = self.attempts.assignment(attempt);
        if assignment.is_some_and(|assignment| self.connections.try_withdraw(assignment)) {
            self.end_attempt(now, attempt, Outcome::NotSent);
        }
    }

    /// Ends an attempt that was cancelled or timed out, and cancels it on the server if it was
    /// sent.
    fn stop_waiting(&mut self, now: Timestamp, attempt: AttemptId, reason: StopReason) {
        let Some(assignment) = self.attempts.assignment(attempt) else {
            return;
        };
        let connection = assignment.connection();
        match self.connections.stop_waiting(now, assignment, reason) {
            Stopped::KeepConnection(outcome) => self.end_attempt(now, attempt, outcome),
            Stopped::CloseConnection(outcome) => {
                self.end_attempt(now, attempt, outcome);
                self.on_connection_lost(now, connection);
            }
        }
    }

    /// Ends an attempt. This is the only place where an assigned one becomes an ended one.
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

    /// Closes a connection that was lost, and ends all attempts on it.
    fn on_connection_lost(&mut self, now: Timestamp, id: ServerConnectionId) {
        if let Some(connection) = self.connections.remove(id) {
            self.end_attempts(now, connection.ends_after_loss());
        }
    }

    /// Closes a connection on which the server has violated the protocol: whatever follows cannot
    /// be relied on. Ends all attempts on it.
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
        let oldest_first = self.attempts.oldest_first(connection.attempts());
        self.end_attempts(now, connection.ends_after_violation(oldest_first));
    }

    fn end_attempts(&mut self, now: Timestamp, ends: Vec<AttemptEnd>) {
        for AttemptEnd { attempt, outcome } in ends {
            self.end_attempt(now, attempt, outcome);
        }
    }

    /// The connections, for tests.
    #[cfg(test)]
    pub(super) fn connections(&self) -> &ConnectionPool {
        &self.connections
    }

    /// The attempts, for tests.
    #[cfg(test)]
    pub(super) fn attempts(&self) -> &AttemptTracker {
        &self.attempts
    }
}
