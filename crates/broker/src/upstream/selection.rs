//! Choice of the connection that a call is sent on.

use super::ServerPools;
use super::connection::ServerConnectionId;
use broker_types::server::NodeId;
use broker_types::time::Micros;
use tracing::warn;

/// Most connections to one server, if the limit on sockets allows as many. An invalid response ends all attempts
/// in flight on its connection, so calls are spread over several ones; 4 is the project's own choice.
const MAX_CONNECTIONS_PER_SERVER: usize = 4;

impl ServerPools {
    /// A connection with capacity for a call with `parts` parts. `None`: the server accepts no attempts, or the
    /// limit on sockets is reached.
    ///
    /// An idle connection is preferred, and of these the one that has been idle for longest: a server may close a
    /// connection right after its response, and an attempt that crosses the closing ends as a reset. Otherwise a
    /// new connection is opened, or the one with the fewest attempts in flight is used if no more are allowed.
    pub(super) fn connection_for(
        &mut self,
        now: Micros,
        server: &NodeId,
        parts: usize,
    ) -> Option<ServerConnectionId> {
        let address = self.servers.get(server)?.endpoint?;
        if let Some(id) = self.least_loaded_connection(server, parts) {
            let is_idle = self.connections.get(&id).is_some_and(|c| c.is_idle());
            if is_idle || !self.may_open_connection(server) {
                return Some(id);
            }
        }
        if self.connections.len() >= self.limits.max_connections && !self.evict_idle_connection() {
            warn!(
                name: "server_connections_exhausted", server = %server.0,
                open_connections = self.connections.len()
            );
            return None;
        }
        Some(self.open_connection(now, server, address))
    }

    /// Of the connections to a server that have capacity for `parts` more parts, the one with the fewest attempts
    /// in flight, and of these the one that has been unused for longest.
    fn least_loaded_connection(&self, server: &NodeId, parts: usize) -> Option<ServerConnectionId> {
        let max_in_flight = self.limits.max_parts_per_connection;
        self.servers
            .get(server)?
            .connections
            .iter()
            .filter_map(|id| Some((*id, self.connections.get(id)?)))
            .filter(|(_, connection)| connection.has_capacity(parts, max_in_flight))
            .min_by_key(|(_, connection)| (connection.in_flight.len(), connection.last_used))
            .map(|(id, _)| id)
    }

    /// Whether a further connection to a server is within the limits, without closing any other.
    fn may_open_connection(&self, server: &NodeId) -> bool {
        let max_open = self.limits.max_connections;
        let fair_share = max_open / self.servers.len().max(1);
        let max_connections = fair_share.clamp(1, MAX_CONNECTIONS_PER_SERVER);
        let pool = self.servers.get(server);
        let is_below_share = pool.is_some_and(|s| s.connections.len() < max_connections);
        is_below_share && self.connections.len() < max_open
    }

    /// Closes the connection that has been idle for longest. False: none is idle.
    fn evict_idle_connection(&mut self) -> bool {
        let idle = self.connections.iter().filter(|(_, c)| c.is_idle());
        let Some(id) = idle.min_by_key(|(_, c)| c.last_used).map(|(id, _)| *id) else {
            return false;
        };
        self.close_connection(id);
        true
    }
}
