//! Selection of the connection that a call is sent on.

use super::attempt::OutgoingAttempt;
use super::connection::ServerConnection;
use super::server_table::ServerTable;
use crate::event_queue::ServerConnectionId;
use broker_types::limits::PoolLimits;
use broker_types::server::NodeId;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Maximum number of connections to one server over which its calls are spread. Calls are spread
/// because an invalid response ends all attempts in flight on its connection. Beyond this number, a
/// connection to the server is opened only if none of the existing ones has capacity for the call.
const MAX_SPREAD_CONNECTIONS_PER_SERVER: usize = 4;

/// Result of the selection of a connection for a call.
pub(super) enum Selection {
    /// Send the call on this connection.
    Existing(ServerConnectionId),
    /// Open a connection to this address, and send the call on it.
    Open(SocketAddr),
    /// Close the idle connection `evicted`, open a connection to `address`, and send the call on
    /// it.
    EvictAndOpen {
        evicted: ServerConnectionId,
        address: SocketAddr,
    },
    /// The server accepts no attempts.
    NotServing,
    /// The limit of connections is reached, and none of them is idle.
    Exhausted,
}

/// Selects connections within the limits of the pool, with access to all servers and connections.
pub(super) struct ConnectionSelector<'a> {
    limits: &'a PoolLimits,
    servers: &'a ServerTable,
    connections: &'a BTreeMap<ServerConnectionId, ServerConnection>,
}

impl<'a> ConnectionSelector<'a> {
    /// Creates a selector that chooses among `connections`.
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

    /// Selects a connection that accepts a call with the parts of these attempts.
    ///
    /// Among the connections to the server, prefers the one that has been idle for longest. A
    /// server may close a connection right after its response, and an attempt that is sent at that
    /// moment ends with a connection reset; this is least likely on the connection that has been
    /// idle for longest. If none is idle, selects a new connection if calls may be spread over a
    /// further one, and otherwise the connection with the fewest attempts in flight. If none accepts
    /// the call, selects a new connection; if the limit of connections to all servers is reached,
    /// an idle connection must be closed first.
    pub(super) fn select(&self, server: &NodeId, call: &[OutgoingAttempt]) -> Selection {
        let Some(address) = self.servers.endpoint(server) else {
            return Selection::NotServing;
        };
        if let Some(connection) = self.least_used(server, call)
            && (connection.is_idle() || !self.may_open_to_spread(server))
        {
            return Selection::Existing(connection.id());
        }
        if self.connections.len() < self.limits.max_connections {
            return Selection::Open(address);
        }
        match self.longest_idle() {
            Some(evicted) => Selection::EvictAndOpen { evicted, address },
            None => Selection::Exhausted,
        }
    }

    /// Returns the least used connection to a server among those that accept a call, or `None` if
    /// none accepts it.
    fn least_used(&self, server: &NodeId, call: &[OutgoingAttempt]) -> Option<&ServerConnection> {
        let max_in_flight = self.limits.max_parts_per_connection;
        self.servers
            .connections_to(server)
            .filter_map(|id| self.connections.get(&id))
            .filter(|connection| connection.accepts(call, max_in_flight))
            .min_by_key(|connection| connection.usage())
    }

    /// Returns whether a further connection to a server may be opened although an existing one has
    /// capacity. Each server has an equal share of the maximum number of connections. The calls to
    /// a server are spread over as many connections as its share, but over at least one and at most
    /// [`MAX_SPREAD_CONNECTIONS_PER_SERVER`]. No other connection is closed for this purpose.
    fn may_open_to_spread(&self, server: &NodeId) -> bool {
        let max_open = self.limits.max_connections;
        let fair_share = max_open / self.servers.len().max(1);
        let max_connections = fair_share.clamp(1, MAX_SPREAD_CONNECTIONS_PER_SERVER);
        let is_below_share = self.servers.connections_to(server).len() < max_connections;
        is_below_share && self.connections.len() < max_open
    }

    /// Returns the connection to any server that has been idle for longest, or `None` if none is
    /// idle.
    fn longest_idle(&self) -> Option<ServerConnectionId> {
        let idle = self.connections.values().filter(|c| c.is_idle());
        idle.min_by_key(|c| c.usage()).map(ServerConnection::id)
    }
}
