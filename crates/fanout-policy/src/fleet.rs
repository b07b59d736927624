//! All known data servers.
//!
//! [`Fleet`] owns the servers with their indexes and what holds for all of them: the replica
//! rows, the silence of zones, the fleet's latency and the rate at which a warm server serves.

mod replica_rows;
mod server;
mod server_records;

pub(crate) use replica_rows::ReplicaRows;
pub(crate) use server::Server;
pub(crate) use server_records::ServerIndex;

use crate::api::{Endpoint, ListUpdate, Ms, NodeId, ServingState};
use crate::policy::batch_context::BatchContext;
use crate::policy::ended_attempt::EndedAttempt;
use crate::policy::gossip_codec::ShortName;
use crate::policy::latency::FleetLatency;
use crate::policy::outlier_detection::EjectionContext;
use crate::policy::outstanding_work::PeerReport;
use crate::policy::slow_start::ServedRate;
use crate::policy::zone_silence::ZoneSilence;
use crate::queries::InFlightAttempt;
use crate::random::RandomSource;
use replica_rows::ServingServer;
use server_records::ServerRecords;
use std::collections::{BTreeMap, BTreeSet};

/// The servers of the endpoint lists seen so far, without those forgotten.
pub(crate) struct Fleet {
    /// Records by index. The index of a server does not change while it is known.
    servers: ServerRecords,
    /// Indexes of forgotten servers, to be reused.
    free: Vec<ServerIndex>,
    by_name: BTreeMap<NodeId, ServerIndex>,
    by_short_name: BTreeMap<ShortName, ServerIndex>,
    rows: ReplicaRows,
    zone_silence: ZoneSilence,
    latency: FleetLatency,
    served_rate: ServedRate,
}

impl Fleet {
    /// No servers.
    pub(crate) fn new() -> Self {
        Fleet {
            servers: ServerRecords::default(),
            free: Vec::new(),
            by_name: BTreeMap::new(),
            by_short_name: BTreeMap::new(),
            rows: ReplicaRows::default(),
            zone_silence: ZoneSilence::default(),
            latency: FleetLatency::new(),
            served_rate: ServedRate::default(),
        }
    }

    /// Number of records held, including those to be reused.
    pub(crate) fn record_count(&self) -> usize {
        self.servers.len()
    }

    /// A server.
    pub(crate) fn server(&self, index: ServerIndex) -> &Server {
        &self.servers[index]
    }

    /// Index of the server with this name.
    pub(crate) fn find(&self, node: &NodeId) -> Option<ServerIndex> {
        self.by_name.get(node).copied()
    }

    /// Whether a server has not been forgotten.
    pub(crate) fn is_known(&self, index: ServerIndex) -> bool {
        self.by_name.values().any(|known| *known == index)
    }

    /// The servers that serve or drain, in order of their names.
    pub(crate) fn listed(&self) -> impl Iterator<Item = &Server> {
        let servers = self.by_name.values().map(|index| &self.servers[*index]);
        servers.filter(|server| server.state() != ServingState::Removed)
    }

    /// Indexes of the servers with outstanding work of this aggregator.
    pub(crate) fn loaded(&self) -> impl Iterator<Item = ServerIndex> {
        let indexes = self.servers.indexes();
        indexes.filter(move |index| self.servers[*index].outstanding().own() > 0.0)
    }

    /// The holders of the shards.
    pub(crate) fn rows(&self) -> &ReplicaRows {
        &self.rows
    }

    /// Servers that hold a shard.
    pub(crate) fn holders(&self, shard: usize) -> &[ServerIndex] {
        self.rows.holders(shard)
    }

    /// Median latency of the servers.
    pub(crate) fn latency(&self) -> &FleetLatency {
        &self.latency
    }

    /// Rate at which a warm server serves the work of this aggregator.
    pub(crate) fn served_rate(&self) -> &ServedRate {
        &self.served_rate
    }

    /// Error rate of a server for a class. A server not observed for an objective is
    /// assumed to be as silent as its zone, so that a network partition is not discovered
    /// at each server anew.
    pub(crate) fn error_rate(&self, batch: &BatchContext, server: &Server, class: usize) -> f64 {
        let is_unobserved = server
            .latency()
            .is_unobserved_since(batch.now - batch.shortest_objective());
        let zone_silence = if is_unobserved {
            self.zone_silence.no_response_share(server.zone())
        } else {
            0.0
        };
        let health = server.health();
        health
            .error_rate()
            .max(zone_silence)
            .max(health.class_error_rate(class))
    }

    /// Starts a batch.
    pub(crate) fn on_batch(&mut self) {
        for server in self.servers.iter_mut() {
            server.on_batch();
        }
    }

    /// Applies an update of the endpoint list.
    pub(crate) fn apply_list(
        &mut self,
        batch: &BatchContext,
        update: ListUpdate,
        endpoints: Vec<Endpoint>,
    ) {
        if update != ListUpdate::Delta {
            for server in self.servers.iter_mut() {
                server.mark_removed();
            }
        }
        for endpoint in endpoints {
            let index = self.find_or_add(&endpoint.node);
            self.servers[index].update(batch, &endpoint);
        }
        self.rebuild_rows(batch.settings.cells, batch.settings.replica_cells);
    }

    /// Records an attempt that is sent.
    pub(crate) fn record_send(&mut self, attempt: &InFlightAttempt) {
        self.servers[attempt.server].record_send(attempt);
    }

    /// Records that an attempt is no longer in flight, and what its end says about the
    /// server's zone and the class.
    pub(crate) fn record_end(&mut self, ended: &EndedAttempt) {
        let server = &mut self.servers[ended.attempt().server];
        if let Some(response) = ended.response() {
            self.zone_silence.record(server.zone(), response);
        }
        server.record_end(ended);
    }

    /// Learns from an attempt that was served.
    pub(crate) fn on_answer(&mut self, batch: &BatchContext, ended: &EndedAttempt) {
        let attempt = ended.attempt();
        self.served_rate.record_served(attempt.work);
        self.servers[attempt.server].on_answer(batch, ended);
    }

    /// Learns from an attempt that was rejected for lack of capacity.
    pub(crate) fn on_overload(&mut self, ended: &EndedAttempt, context: &EjectionContext) {
        self.servers[ended.attempt().server].on_overload(context);
    }

    /// Learns from an attempt that timed out, before it counts as a failure.
    pub(crate) fn on_timeout(&mut self, batch: &BatchContext, ended: &EndedAttempt) {
        self.servers[ended.attempt().server].on_timeout(batch.now, ended, &self.latency);
    }

    /// Learns from an attempt that failed.
    pub(crate) fn on_failure(
        &mut self,
        batch: &BatchContext,
        ended: &EndedAttempt,
        context: &EjectionContext,
    ) {
        self.servers[ended.attempt().server].on_failure(batch, ended, context);
    }

    /// Applies a server's report of its load, the number of requests there, each with this cost.
    pub(crate) fn on_load_report(
        &mut self,
        batch: &BatchContext,
        server: ServerIndex,
        load: f64,
        part_cost: Ms,
    ) {
        self.servers[server].on_load_report(batch, load, part_cost, &self.latency);
    }

    /// Applies what another aggregator published about a server, if the server is known.
    pub(crate) fn on_peer_report(
        &mut self,
        batch: &BatchContext,
        peer: usize,
        server: ShortName,
        report: PeerReport,
    ) {
        if let Some(&index) = self.by_short_name.get(&server) {
            self.servers[index].on_peer_report(batch, peer, report, &self.latency);
        }
    }

    /// Starts a control interval: updates all averages and draws for slow start.
    pub(crate) fn start_interval(&mut self, batch: &BatchContext, random: &mut RandomSource) {
        let latencies = self.servers.iter().map(Server::latency);
        self.latency.update(batch.now, latencies);
        for server in self.servers.iter_mut() {
            server.start_interval(batch, random.fraction(), &self.latency);
        }
        let warm_servers = self.servers.iter().filter(|server| server.is_warm());
        self.served_rate.end_interval(warm_servers.count());
    }

    /// Forgets the removed servers that have long not been observed and are not in use, so
    /// that records stay bounded as servers are replaced.
    pub(crate) fn forget_removed(&mut self, batch: &BatchContext, in_use: &BTreeSet<ServerIndex>) {
        let unobserved_since = batch.now - batch.settings.warm_up.duration;
        let is_obsolete = |index: &ServerIndex| {
            let server = &self.servers[*index];
            server.state() == ServingState::Removed
                && server.latency().is_unobserved_since(unobserved_since)
                && !in_use.contains(index)
        };
        let known = self.by_name.values().copied();
        let forgotten: Vec<ServerIndex> = known.filter(is_obsolete).collect();
        self.by_name.retain(|_, index| !forgotten.contains(index));
        self.by_short_name
            .retain(|_, index| !forgotten.contains(index));
        self.free.extend(forgotten);
    }

    fn find_or_add(&mut self, node: &NodeId) -> ServerIndex {
        if let Some(index) = self.find(node) {
            return index;
        }
        let server = Server::new(node.clone(), &self.latency);
        let index = match self.free.pop() {
            Some(index) => {
                self.servers[index] = server;
                index
            }
            None => self.servers.push(server),
        };
        self.by_name.insert(node.clone(), index);
        self.by_short_name.insert(ShortName::of(node), index);
        index
    }

    fn rebuild_rows(&mut self, cells: usize, replica_cells: usize) {
        let indexes = self.by_name.values().copied();
        let serving = indexes.filter(|index| self.servers[*index].state() == ServingState::Serving);
        let serving = serving.map(|index| ServingServer {
            index,
            cell: self.servers[index].cell(),
        });
        self.rows = ReplicaRows::new(cells, replica_cells, serving);
    }
}
