//! The addresses of the data servers, and which connections lead to each server.

use crate::event_queue::ServerConnectionId;
use broker_types::server::NodeId;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

/// One data server.
#[derive(Default)]
struct Server {
    /// Address for new connections. `None` if the server accepts no further attempts.
    endpoint: Option<SocketAddr>,
    connections: BTreeSet<ServerConnectionId>,
}

/// The data servers that have an address or connections.
#[derive(Default)]
pub(super) struct ServerTable {
    servers: BTreeMap<NodeId, Server>,
}

impl ServerTable {
    /// Sets the address of a server. `None` means that the server accepts no further attempts or
    /// was removed. If the server had a different address before, returns the ids of all
    /// connections to the server, because each of them leads to a former address.
    pub(super) fn set_endpoint(
        &mut self,
        name: &NodeId,
        endpoint: Option<SocketAddr>,
    ) -> Vec<ServerConnectionId> {
        let server = self.servers.entry(name.clone()).or_default();
        let has_changed = server.endpoint.is_some_and(|old| Some(old) != endpoint);
        server.endpoint = endpoint;
        let outdated = if has_changed {
            server.connections.iter().copied().collect()
        } else {
            Vec::new()
        };
        self.remove_if_unused(name);
        outdated
    }

    /// Returns the address of a server, or `None` if the server accepts no attempts.
    pub(super) fn endpoint(&self, name: &NodeId) -> Option<SocketAddr> {
        self.servers.get(name)?.endpoint
    }

    /// Returns the names of all servers that accept attempts.
    pub(super) fn serving(&self) -> impl Iterator<Item = &NodeId> {
        let serving = self.servers.iter().filter(|(_, s)| s.endpoint.is_some());
        serving.map(|(name, _)| name)
    }

    /// Returns the number of servers that have an address or connections.
    pub(super) fn len(&self) -> usize {
        self.servers.len()
    }

    /// Returns the connections that lead to a server.
    pub(super) fn connections_to(
        &self,
        name: &NodeId,
    ) -> impl ExactSizeIterator<Item = ServerConnectionId> {
        let server = self.servers.get(name);
        server
            .map(|server| server.connections.iter())
            .unwrap_or_default()
            .copied()
    }

    /// Adds a connection that leads to a server.
    pub(super) fn add_connection(&mut self, name: &NodeId, id: ServerConnectionId) {
        let server = self.servers.entry(name.clone()).or_default();
        server.connections.insert(id);
    }

    /// Removes a connection that led to a server. Removes the server too if it is no longer used.
    pub(super) fn remove_connection(&mut self, name: &NodeId, id: ServerConnectionId) {
        if let Some(server) = self.servers.get_mut(name) {
            server.connections.remove(&id);
        }
        self.remove_if_unused(name);
    }

    /// Removes a server if it has neither an address nor connections.
    fn remove_if_unused(&mut self, name: &NodeId) {
        let server = self.servers.get(name);
        if server.is_some_and(|s| s.endpoint.is_none() && s.connections.is_empty()) {
            self.servers.remove(name);
        }
    }
}
