//! Updates of the endpoint list.

use super::EventLoop;
use broker_types::server::{EndpointList, ListScope, NodeId, ServerInfo, ServingState};
use broker_types::time::Timestamp;
use std::collections::BTreeSet;

impl EventLoop {
    /// Passes a list of endpoints to the policy and the server pools, so that both act on it in the same iteration.
    pub(super) fn update_endpoints(
        &mut self,
        now: Timestamp,
        scope: ListScope,
        list: &EndpointList,
    ) {
        let servers = list.servers(&self.zones, |unix_ms| self.clock.at_unix_ms(unix_ms));
        if scope != ListScope::Delta {
            self.remove_unlisted_servers(now, &servers);
        }
        for (server, endpoint) in servers.iter().zip(&list.endpoints) {
            let address = endpoint
                .address
                .filter(|_| server.state == ServingState::Serving);
            self.servers.set_endpoint(now, &server.name, address);
        }
        self.policy.update_endpoints(scope, servers);
    }

    /// Stops sending to the servers that a full list no longer holds.
    fn remove_unlisted_servers(&mut self, now: Timestamp, listed: &[ServerInfo]) {
        let listed: BTreeSet<&NodeId> = listed.iter().map(|server| &server.name).collect();
        for name in self.servers.serving() {
            if !listed.contains(&name) {
                self.servers.set_endpoint(now, &name, None);
            }
        }
    }
}
