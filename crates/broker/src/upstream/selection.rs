//! Choice of the connection that a call is sent on.

use super::connection::ServerConnection;
use super::server_table::ServerTable;
use crate::event_queue::ServerConnectionId;
use broker_types::limits::PoolLimits;
use broker_types::server::NodeId;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Most connections to one server, if the limit on sockets allows as many. An invalid response ends
/// all attempts in flight on its connection, so calls are spread over several ones.
const MAX_CONNECTIONS_PER_SERVER: usize = 4;

/// The connection for a call.
pub(super) enum Selection {
    /// Send on this connection.
    Existing(ServerConnectionId),
    /// Open a connection to this address.
    Open(SocketAddr),
    /// Close an idle connection, and open one to this address.
    OpenInPlaceOf {
        evicted: ServerConnectionId,
        address: SocketAddr,
    },
    /// The server accepts no attempts.
    NotServing,
    /// No socket is left, and none of the connections is idle.
    Exhausted,
}

/// Selects connections within the limits of the pool. It sees all servers and all connections.
pub(super) struct ConnectionSelector<'a> {
    limits: &'a PoolLimits,
    servers: &'a ServerTable,
    connections: &'a BTreeMap<ServerConnectionId, ServerConnection>,
}

impl<'a> ConnectionSelector<'a> {
    /// A selector for these servers and connections.
    pub(super) fn new(
        limits: &'a PoolLimits,
        servers: &'a ServerTable,
        connections: &'a BTreeMap<ServerConnectionId, ServerConnection>,
    ) -> Self {
        ConnectionSelector {
            limits,
            servers,
            connections,
        }
    }

    /// Selects a connection with capacity for a call with `parts` parts.
    ///
    /// An idle connection is preferred, and of these the one that has been idle for longest: a
    /// server may close a connection right after its response, and an attempt that crosses the
    /// closing ends as a reset. Otherwise a new connection is opened, or the one with the fewest
    /// attempts in flight is used if no more are allowed.
    pub(super) fn select(&self, server: &NodeId, parts: usize) -> Selection {
        let Some(address) = self.servers.endpoint(server) else {
            return Selection::NotServing;
        };
        if let Some(connection) = self.least_used(server, parts)
            && (connection.is_idle() || !self.may_open(server))
        {
            return Selection::Existing(connection.id());
        }
        if self.connections.len() < self.limits.max_connections {
            return Selection::Open(address);
        }
        match self.longest_idle() {
            Some(evicted) => Selection::OpenInPlaceOf { evicted, address },
            None => Selection::Exhausted,
        }
    }

    /// Of the connections to a server that have capacity for `parts` more parts, the least used
    /// one.
    fn least_used(&self, server: &NodeId, parts: usize) -> Option<&ServerConnection> {
        let max_in_flight = self.limits.max_parts_per_connection;
        self.servers
            .connections_to(server)
            .filter_map(|id| self.connections.get(&id))
            .filter(|connection| connection.has_capacity(parts, max_in_flight))
            .min_by_key(|connection| connection.usage())
    }

    /// Whether a further connection to a server is within the limits, without closing any other.
    fn may_open(&self, server: &NodeId) -> bool {
        let max_open = self.limits.max_connections;
        let fair_share = max_open / self.servers.len().max(1);
        let max_connections = fair_share.clamp(1, MAX_CONNECTIONS_PER_SERVER);
        let is_below_share = self.servers.connections_to(server).len() < max_connections;
        is_below_share && self.connections.len() < max_open
    }

    /// The connection that has been idle for longest.
    fn longest_idle(&self) -> Option<ServerConnectionId> {
        let idle = self.connections.values().filter(|c| c.is_idle());
        idle.min_by_key(|c| c.usage()).map(ServerConnection::id)
    }
}
