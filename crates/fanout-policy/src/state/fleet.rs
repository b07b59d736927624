//! All known data servers and their indexes.

use super::{ReplicaRows, Server, ServerIndex, ServerRecords, ServingServer, ShortName, smooth};
use crate::api::{Ms, NodeId, ServingState};
use std::collections::BTreeMap;

/// The servers of the endpoint lists seen so far, without those forgotten.
#[derive(Default)]
pub(crate) struct Fleet {
    /// Records by index. The index of a server does not change while it is known.
    pub(crate) servers: ServerRecords,
    /// Indexes of forgotten servers, to be reused.
    free: Vec<ServerIndex>,
    /// Index by name.
    pub(crate) by_name: BTreeMap<NodeId, ServerIndex>,
    /// Index by short name in gossip.
    pub(crate) by_short_name: BTreeMap<ShortName, ServerIndex>,
    /// Holders of the shards.
    pub(crate) rows: ReplicaRows,
    /// Share of attempts that got no response, by zone, smoothed.
    pub(crate) zone_silence: BTreeMap<usize, f64>,
}

impl Fleet {
    /// The record of a server, created with this latency per work if the server is new.
    pub(crate) fn server_or_new(&mut self, node: NodeId, latency_per_work: f64) -> &mut Server {
        let index = match self.by_name.get(&node) {
            Some(index) => *index,
            None => self.add(node, latency_per_work),
        };
        &mut self.servers[index]
    }

    fn add(&mut self, node: NodeId, latency_per_work: f64) -> ServerIndex {
        let short_name = ShortName::of(&node);
        let server = Server::new(node.clone(), latency_per_work);
        let index = match self.free.pop() {
            Some(index) => {
                self.servers[index] = server;
                index
            }
            None => self.servers.push(server),
        };
        self.by_name.insert(node, index);
        self.by_short_name.insert(short_name, index);
        index
    }

    /// Updates the average of unanswered attempts of the server's zone, if it has one.
    pub(crate) fn record_silence(&mut self, server: ServerIndex, weight: f64, sample: f64) {
        if let Some(zone) = self.servers[server].zone {
            smooth(self.zone_silence.entry(zone).or_default(), weight, sample);
        }
    }

    /// Share of attempts in the server's zone that got no response; 0 if the zone is not known.
    pub(crate) fn zone_silence(&self, server: &Server) -> f64 {
        let silence = server.zone.and_then(|zone| self.zone_silence.get(&zone));
        silence.copied().unwrap_or(0.0)
    }

    /// Forgets the removed servers that have not been observed since `unobserved_since` and
    /// are not in use.
    pub(crate) fn forget_removed(
        &mut self,
        unobserved_since: Ms,
        is_in_use: impl Fn(ServerIndex) -> bool,
    ) {
        let is_obsolete = |index: ServerIndex| {
            let server = &self.servers[index];
            server.state == ServingState::Removed
                && server.last_observed_at < unobserved_since
                && !is_in_use(index)
        };
        let forgotten: Vec<ServerIndex> = self
            .by_name
            .values()
            .copied()
            .filter(|i| is_obsolete(*i))
            .collect();
        self.by_name.retain(|_, index| !forgotten.contains(index));
        self.by_short_name
            .retain(|_, index| !forgotten.contains(index));
        self.free.extend(forgotten);
    }

    /// Rebuilds the replica rows from the servers that serve.
    pub(crate) fn rebuild_rows(&mut self, cells: usize, replica_cells: usize) {
        let indexes = self.by_name.values().copied();
        let serving = indexes.filter(|index| self.servers[*index].state == ServingState::Serving);
        let serving = serving.map(|index| ServingServer {
            index,
            cell: self.servers[index].cell,
        });
        self.rows = ReplicaRows::new(cells, replica_cells, serving);
    }
}
