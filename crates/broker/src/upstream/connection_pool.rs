//! The connections to all data servers: opening, selecting, draining and closing them.
//!
//! [`ConnectionPool`] owns each connection from its opening until its socket task is dropped, which
//! closes the socket. It does not end attempts itself, but returns to its caller which attempts
//! must end.

use super::assignment::Assignment;
use super::attempt::OutgoingAttempt;
use super::connection::ServerConnection;
use super::selection::{ConnectionSelector, Selection};
use super::server_table::ServerTable;
use super::socket::Connector;
use super::stop::{StopReason, StopResult};
use super::timeouts::ConnectionTimeouts;
use crate::event_queue::ServerConnectionId;
use broker_types::limits::PoolLimits;
use broker_types::query::AttemptId;
use broker_types::server::NodeId;
use broker_types::time::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use tracing::warn;

/// The connections to all data servers.
pub(super) struct ConnectionPool {
    limits: PoolLimits,
    timeouts: ConnectionTimeouts,
    connector: Connector,
    servers: ServerTable,
    connections: BTreeMap<ServerConnectionId, ServerConnection>,
    next_id: u64,
}

impl ConnectionPool {
    /// Creates a pool without servers, which opens connections with `connector`.
    pub(super) fn new(limits: PoolLimits, connector: Connector) -> Self {
        ConnectionPool {
            limits,
            timeouts: ConnectionTimeouts::new(&limits),
            connector,
            servers: ServerTable::default(),
            connections: BTreeMap::new(),
            next_id: 0,
        }
    }

    /// Sets the address of a server. `None` means that the server accepts no further attempts or
    /// was removed. If the server had a different address before, starts to drain the connections
    /// to that address and returns the attempts that are withdrawn from them.
    pub(super) fn set_endpoint(
        &mut self,
        name: &NodeId,
        endpoint: Option<SocketAddr>,
    ) -> Vec<AttemptId> {
        let mut withdrawn = Vec::new();
        for id in self.servers.set_endpoint(name, endpoint) {
            if let Some(connection) = self.connections.get_mut(&id) {
                withdrawn.extend(connection.start_draining());
            }
        }
        withdrawn
    }

    /// Returns the names of all servers that accept attempts.
    pub(super) fn serving(&self) -> impl Iterator<Item = &NodeId> {
        self.servers.serving()
    }

    /// Returns the number of connections that are open or being opened.
    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns a connection, or `None` if it is closed.
    #[cfg(test)]
    pub(super) fn get(&self, id: ServerConnectionId) -> Option<&ServerConnection> {
        self.connections.get(&id)
    }

    /// Returns a connection, or `None` if it is closed.
    pub(super) fn get_mut(&mut self, id: ServerConnectionId) -> Option<&mut ServerConnection> {
        self.connections.get_mut(&id)
    }

    /// Returns a connection that accepts a call with the parts of these attempts, and opens one if
    /// needed. Returns `None` if the server accepts no attempts, or if the limit of connections is
    /// reached and none of them is idle.
    pub(super) fn acquire(
        &mut self,
        now: Timestamp,
        server: &NodeId,
        call: &[OutgoingAttempt],
    ) -> Option<&mut ServerConnection> {
        let selector = ConnectionSelector::new(&self.limits, &self.servers, &self.connections);
        let id = match selector.select(server, call) {
            Selection::Existing(id) => id,
            Selection::Open(address) => self.open(now, server, address),
            Selection::EvictAndOpen { evicted, address } => {
                self.remove(evicted);
                self.open(now, server, address)
            }
            Selection::NotServing => return None,
            Selection::Exhausted => {
                warn!(
                    name: "server_connections_exhausted", server = %server.0,
                    open_connections = self.connections.len()
                );
                return None;
            }
        };
        self.connections.get_mut(&id)
    }

    /// Returns whether a response to a part with the id of this attempt's part is outstanding on a
    /// connection to the attempt's server.
    pub(super) fn is_outstanding(&self, outgoing: &OutgoingAttempt) -> bool {
        self.servers
            .connections_to(&outgoing.server)
            .filter_map(|id| self.connections.get(&id))
            .any(|connection| connection.is_outstanding(outgoing))
    }

    /// Starts to open a connection and returns its id.
    fn open(&mut self, now: Timestamp, server: &NodeId, address: SocketAddr) -> ServerConnectionId {
        let id = ServerConnectionId(self.next_id);
        self.next_id += 1;
        let socket = self.connector.connect(id, address);
        let connection = ServerConnection::new(now, id, server.clone(), socket);
        self.connections.insert(id, connection);
        self.servers.add_connection(server, id);
        id
    }

    /// Removes and returns a connection, or returns `None` if it is closed. Dropping the connection
    /// closes its socket.
    pub(super) fn remove(&mut self, id: ServerConnectionId) -> Option<ServerConnection> {
        let connection = self.connections.remove(&id)?;
        self.servers.remove_connection(connection.server(), id);
        Some(connection)
    }

    /// Withdraws the part of an attempt unless any byte of it was written. Returns whether the part
    /// was withdrawn.
    pub(super) fn try_withdraw(&self, assignment: &Assignment) -> bool {
        let connection = self.connections.get(&assignment.connection());
        connection.is_some_and(|connection| connection.try_withdraw(assignment))
    }

    /// Stops waiting for the response to an attempt. Withdraws its part, or cancels it on the
    /// server if any byte of it was written. The caller ends the attempt.
    pub(super) fn stop_waiting(
        &mut self,
        now: Timestamp,
        assignment: &Assignment,
        reason: StopReason,
    ) -> StopResult {
        match self.connections.get_mut(&assignment.connection()) {
            Some(connection) => connection.stop_waiting(now, assignment, reason, &self.timeouts),
            // Not expected, because all attempts on a connection end when it is removed. There is
            // no connection that would have to be closed.
            None => StopResult::KeepConnection(reason.into()),
        }
    }

    /// Removes an ended attempt from the attempts in flight on its connection.
    pub(super) fn release(&mut self, now: Timestamp, assignment: &Assignment) {
        if let Some(connection) = self.connections.get_mut(&assignment.connection()) {
            connection.release(now, assignment);
        }
    }

    /// Closes the idle connections that are draining or were not used for the maximum idle time.
    pub(super) fn close_expired(&mut self, now: Timestamp) {
        for id in self.ids_where(|connection| connection.is_expired(now, &self.timeouts)) {
            self.remove(id);
        }
    }

    /// Returns the ids of the connections on which an incomplete frame has not grown for the
    /// maximum stall time.
    pub(super) fn stalled(&self, now: Timestamp) -> Vec<ServerConnectionId> {
        self.ids_where(|connection| connection.is_stalled(now, &self.timeouts))
    }

    /// Returns the earliest time at which a connection counts as stalled unless its incomplete
    /// frame grows, or `None` if no connection has an incomplete frame.
    pub(super) fn next_stall_deadline(&self) -> Option<Timestamp> {
        let connections = self.connections.values();
        connections
            .filter_map(|connection| connection.stall_deadline(&self.timeouts))
            .min()
    }

    /// Returns the ids of the connections that meet a condition.
    fn ids_where(&self, condition: impl Fn(&ServerConnection) -> bool) -> Vec<ServerConnectionId> {
        let connections = self.connections.values();
        connections
            .filter(|connection| condition(connection))
            .map(ServerConnection::id)
            .collect()
    }

    /// Returns the number of servers that have an address or connections.
    #[cfg(test)]
    pub(super) fn known_servers(&self) -> usize {
        self.servers.len()
    }

    /// Returns all connections, in the order in which they were opened.
    #[cfg(test)]
    pub(super) fn connections(&self) -> impl Iterator<Item = &ServerConnection> {
        self.connections.values()
    }
}
