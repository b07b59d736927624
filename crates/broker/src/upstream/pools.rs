//! The pools of all data servers: their addresses, their connections, and what is sent on these.

use super::attempt::{EndedAttempt, OutgoingAttempt};
use super::connection::{PooledConnection, ServerConnectionId};
use super::in_flight::{InFlightAttempt, InFlightAttempts};
use super::send_queue::{OutgoingFrame, SendQueue};
use super::socket::SocketTask;
use crate::clock::Clock;
use crate::event_queue::EventQueue;
use async_executor::LocalExecutor;
use broker_types::limits::PoolLimits;
use broker_types::query::AttemptId;
use broker_types::server::{NodeId, Outcome};
use broker_types::time::Micros;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;

/// The pool of one data server.
#[derive(Default)]
pub(super) struct ServerPool {
    /// Address that new connections lead to. `None`: the server accepts no further attempts.
    pub(super) endpoint: Option<SocketAddr>,
    /// Its connections.
    pub(super) connections: BTreeSet<ServerConnectionId>,
}

/// What an attempt ended with.
pub(super) struct AttemptResult {
    pub(super) outcome: Outcome,
    pub(super) requests_in_flight: Option<f64>,
    pub(super) value: Option<String>,
}

impl From<Outcome> for AttemptResult {
    /// The result of an attempt that ended without a response.
    fn from(outcome: Outcome) -> Self {
        AttemptResult {
            outcome,
            requests_in_flight: None,
            value: None,
        }
    }
}

/// The connection pools of all data servers.
pub struct ServerPools {
    pub(super) executor: Rc<LocalExecutor<'static>>,
    pub(super) event_queue: Rc<EventQueue>,
    clock: Clock,
    pub(super) limits: PoolLimits,
    pub(super) servers: BTreeMap<NodeId, ServerPool>,
    pub(super) connections: BTreeMap<ServerConnectionId, PooledConnection>,
    next_connection: u64,
    pub(super) in_flight: InFlightAttempts,
    /// Attempts that have ended and were not taken.
    pub(super) ended: Vec<EndedAttempt>,
}

impl ServerPools {
    /// Pools without servers.
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        event_queue: Rc<EventQueue>,
        clock: Clock,
        limits: PoolLimits,
    ) -> Self {
        ServerPools {
            executor,
            event_queue,
            clock,
            limits,
            servers: BTreeMap::new(),
            connections: BTreeMap::new(),
            next_connection: 0,
            in_flight: InFlightAttempts::default(),
            ended: Vec::new(),
        }
    }

    /// Sets the address of a server; `None`: it accepts no further attempts, or was removed. If the address
    /// changes, the connections to the old one are drained and unsent attempts on them end as not sent.
    pub fn set_endpoint(&mut self, now: Micros, name: NodeId, endpoint: Option<SocketAddr>) {
        let server = self.servers.entry(name.clone()).or_default();
        let has_changed = server.endpoint.is_some_and(|old| Some(old) != endpoint);
        server.endpoint = endpoint;
        if has_changed {
            for id in server.connections.clone() {
                self.drain_connection(now, id);
            }
        }
        self.remove_unused_server(&name);
    }

    /// Removes a server that has neither an address nor connections.
    fn remove_unused_server(&mut self, name: &NodeId) {
        let server = self.servers.get(name);
        if server.is_some_and(|s| s.endpoint.is_none() && s.connections.is_empty()) {
            self.servers.remove(name);
        }
    }

    /// Names of all servers that accept attempts.
    #[must_use]
    pub fn serving(&self) -> Vec<NodeId> {
        let serving = self.servers.iter().filter(|(_, s)| s.endpoint.is_some());
        serving.map(|(name, _)| name.clone()).collect()
    }

    /// Number of connections, open or being opened.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        self.connections.len()
    }

    /// Sends the attempts of one iteration of the event loop. Those for one server are combined into calls.
    pub fn send_attempts(&mut self, now: Micros, attempts: Vec<OutgoingAttempt>) {
        let mut by_server: BTreeMap<NodeId, Vec<OutgoingAttempt>> = BTreeMap::new();
        for attempt in attempts {
            let server = attempt.server.clone();
            by_server.entry(server).or_default().push(attempt);
        }
        let max_parts = self.limits.max_parts_per_call.max(1);
        for (server, mut attempts) in by_server {
            while !attempts.is_empty() {
                let rest = attempts.split_off(attempts.len().min(max_parts));
                self.send_call(now, &server, attempts);
                attempts = rest;
            }
        }
    }

    /// Sends attempts to one server in one call. They end at once if no connection is available.
    fn send_call(&mut self, now: Micros, server: &NodeId, attempts: Vec<OutgoingAttempt>) {
        let Some(id) = self.connection_for(now, server, attempts.len()) else {
            let unsent = |a: OutgoingAttempt| EndedAttempt::unsent(a.attempt, Outcome::Unreachable);
            self.ended.extend(attempts.into_iter().map(unsent));
            return;
        };
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.last_used = now;
        let mut parts = Vec::with_capacity(attempts.len());
        for OutgoingAttempt { attempt, part, .. } in attempts {
            connection.in_flight.insert(part.wire_id.clone(), attempt);
            let in_flight = InFlightAttempt::new(now, id, &part);
            self.in_flight.insert(attempt, in_flight);
            parts.push(part);
        }
        connection.send_queue.push(OutgoingFrame::Call(parts));
    }

    /// Ends an attempt. This is the only place where one in flight becomes an ended one.
    pub(super) fn end_attempt(
        &mut self,
        now: Micros,
        attempt: AttemptId,
        result: impl Into<AttemptResult>,
    ) {
        let Some(in_flight) = self.in_flight.remove(attempt) else {
            return;
        };
        if let Some(connection) = self.connections.get_mut(&in_flight.connection) {
            connection.in_flight.remove(&in_flight.wire_id);
            connection.last_used = now;
        }
        let AttemptResult {
            outcome,
            requests_in_flight,
            value,
        } = result.into();
        self.ended.push(EndedAttempt {
            attempt,
            outcome,
            elapsed: now.saturating_sub(in_flight.sent_at),
            requests_in_flight,
            value,
        });
    }

    /// Opens a connection to a server at this address.
    pub(super) fn open_connection(
        &mut self,
        now: Micros,
        server: &NodeId,
        address: SocketAddr,
    ) -> ServerConnectionId {
        let id = ServerConnectionId(self.next_connection);
        self.next_connection += 1;
        let send_queue = Rc::new(SendQueue::default());
        let socket_task = SocketTask {
            connection: id,
            address,
            dial_timeout: self.limits.dial_timeout,
            send_queue: send_queue.clone(),
            event_queue: self.event_queue.clone(),
            clock: self.clock,
        };
        let socket_task = self.executor.spawn(socket_task.run());
        let connection = PooledConnection::new(now, server.clone(), send_queue, socket_task);
        self.connections.insert(id, connection);
        let pool = self.servers.entry(server.clone()).or_default();
        pool.connections.insert(id);
        id
    }

    /// Lets a connection finish the attempts that were sent on it, and ends the others as not sent.
    fn drain_connection(&mut self, now: Micros, id: ServerConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else {
            return;
        };
        connection.is_draining = true;
        let withdrawn = connection.send_queue.withdraw_all();
        let attempts: Vec<AttemptId> = withdrawn
            .iter()
            .filter_map(|wire_id| connection.in_flight.get(wire_id).copied())
            .collect();
        for attempt in attempts {
            self.end_attempt(now, attempt, Outcome::NotSent);
        }
    }

    /// Closes a connection. This is the only place where one is removed.
    pub(super) fn close_connection(&mut self, id: ServerConnectionId) {
        let Some(connection) = self.connections.remove(&id) else {
            return;
        };
        if let Some(server) = self.servers.get_mut(&connection.server) {
            server.connections.remove(&id);
        }
        self.remove_unused_server(&connection.server);
    }
}
