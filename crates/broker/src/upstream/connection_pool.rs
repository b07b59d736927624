//! The connections to all data servers: opening, selecting, draining and closing them.
//!
//! [`ConnectionPool`] owns each connection from its opening until its socket task is dropped, which
//! closes the socket. What ends an attempt is reported to the caller.

use super::assignment::Assignment;
use super::connection::{ServerConnection, StopReason, Stopped};
use super::selection::{ConnectionSelector, Selection};
use super::server_table::ServerTable;
use super::socket::Connector;
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
    /// A pool without servers, which opens connections with `connector`.
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

    /// Sets the address of a server; `None`: it accepts no further attempts, or was removed. If the
    /// address changes, the connections to the old one are drained. Returns the attempts that are
    /// withdrawn from these.
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

    /// Names of all servers that accept attempts.
    pub(super) fn serving(&self) -> impl Iterator<Item = &NodeId> {
        self.servers.serving()
    }

    /// Number of connections, open or being opened.
    pub(super) fn len(&self) -> usize {
        self.connections.len()
    }

    /// A connection, unless it is closed.
    #[cfg(test)]
    pub(super) fn get(&self, id: ServerConnectionId) -> Option<&ServerConnection> {
        self.connections.get(&id)
    }

    /// A connection, unless it is closed.
    pub(super) fn get_mut(&mut self, id: ServerConnectionId) -> Option<&mut ServerConnection> {
        self.connections.get_mut(&id)
    }

    /// A connection with capacity for a call with `parts` parts, which may be opened for it.
    /// `None`: the server accepts no attempts, or the limit on sockets is reached.
    pub(super) fn acquire(
        &mut self,
        now: Timestamp,
        server: &NodeId,
        parts: usize,
    ) -> Option<&mut ServerConnection> {
        let selector = ConnectionSelector::new(&self.limits, &self.servers, &self.connections);
        let id = match selector.select(server, parts) {
            Selection::Existing(id) => id,
            Selection::Open(address) => self.open(now, server, address),
            Selection::OpenInPlaceOf { evicted, address } => {
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

    /// Begins to open a connection.
    fn open(&mut self, now: Timestamp, server: &NodeId, address: SocketAddr) -> ServerConnectionId {
        let id = ServerConnectionId(self.next_id);
        self.next_id += 1;
        let socket = self.connector.connect(id, address);
        let connection = ServerConnection::new(now, id, server.clone(), socket);
        self.connections.insert(id, connection);
        self.servers.add_connection(server, id);
        id
    }

    /// Removes a connection. Dropping it closes its socket.
    pub(super) fn remove(&mut self, id: ServerConnectionId) -> Option<ServerConnection> {
        let connection = self.connections.remove(&id)?;
        self.servers.remove_connection(connection.server(), id);
        Some(connection)
    }

    /// Withdraws the part of an attempt, unless any of its bytes was written. Returns whether it is
    /// withdrawn.
    pub(super) fn try_withdraw(&self, assignment: &Assignment) -> bool {
        let connection = self.connections.get(&assignment.connection());
        connection.is_some_and(|connection| connection.try_withdraw(assignment))
    }

    /// Stops waiting for the response to an attempt: withdraws its part, or cancels it on the
    /// server if it was written.
    pub(super) fn stop_waiting(
        &mut self,
        now: Timestamp,
        assignment: &Assignment,
        reason: StopReason,
    ) -> Stopped {
        match self.connections.get_mut(&assignment.connection()) {
            Some(connection) => connection.stop_waiting(now, assignment, reason, &self.timeouts),
            None => Stopped::KeepConnection(reason.into()),
        }
    }

    /// Releases the place of an attempt that has ended.
    pub(super) fn release(&mut self, now: Timestamp, assignment: &Assignment) {
        if let Some(connection) = self.connections.get_mut(&assignment.connection()) {
            connection.release(now, assignment);
        }
    }

    /// Closes the connections that are idle for too long, or that are draining and idle.
    pub(super) fn close_expired(&mut self, now: Timestamp) {
        for id in self.ids_where(|connection| connection.is_expired(now, &self.timeouts)) {
            self.remove(id);
        }
    }

    /// The connections on which an incomplete frame has made no progress for too long.
    pub(super) fn stalled(&self, now: Timestamp) -> Vec<ServerConnectionId> {
        self.ids_where(|connection| connection.is_stalled(now, &self.timeouts))
    }

    /// When the first incomplete frame will have made no progress for too long, while there is one.
    pub(super) fn next_stall(&self) -> Option<Timestamp> {
        let connections = self.connections.values();
        connections
            .filter_map(|connection| connection.stalls_at(&self.timeouts))
            .min()
    }

    /// Ids of the connections that meet a condition.
    fn ids_where(&self, condition: impl Fn(&ServerConnection) -> bool) -> Vec<ServerConnectionId> {
        let connections = self.connections.values();
        connections
            .filter(|connection| condition(connection))
            .map(ServerConnection::id)
            .collect()
    }

    /// Number of servers that have an address or connections.
    #[cfg(test)]
    pub(super) fn known_servers(&self) -> usize {
        self.servers.len()
    }

    /// All connections, in the order in which they were opened.
    #[cfg(test)]
    pub(super) fn connections(&self) -> impl Iterator<Item = &ServerConnection> {
        self.connections.values()
    }
}
