//! The data servers of the endpoint list, and those removed from it that are not forgotten yet.
//!
//! [`Fleet`] owns the servers, the indexes that find them, and the state that concerns several
//! servers: the replica rows, the share of unanswered attempts of each zone, the median latency of
//! the fleet, and the rate at which a warm server serves work.

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

/// The data servers of all endpoint lists received so far. A server that was removed from the list
/// is forgotten some time later, see [`Fleet::forget_removed`].
pub(crate) struct Fleet {
    /// Records of the servers. The index of a server does not change until it is forgotten.
    servers: ServerRecords,
    /// Indexes of forgotten servers, which are reused for new servers.
    free_indexes: Vec<ServerIndex>,
    by_name: BTreeMap<NodeId, ServerIndex>,
    by_short_name: BTreeMap<ShortName, ServerIndex>,
    rows: ReplicaRows,
    zone_silence: ZoneSilence,
    latency: FleetLatency,
    served_rate: ServedRate,
}

impl Fleet {
    /// Creates a fleet without servers.
    pub(crate) fn new() -> Self {
        Fleet {
            servers: ServerRecords::default(),
            free_indexes: Vec::new(),
            by_name: BTreeMap::new(),
            by_short_name: BTreeMap::new(),
            rows: ReplicaRows::default(),
            zone_silence: ZoneSilence::default(),
            latency: FleetLatency::new(),
            served_rate: ServedRate::default(),
        }
    }

    /// Returns the number of server records in memory, including those of forgotten servers that
    /// are kept for reuse.
    pub(crate) fn record_count(&self) -> usize {
        self.servers.len()
    }

    /// Returns the server with this index.
    pub(crate) fn server(&self, index: ServerIndex) -> &Server {
        &self.servers[index]
    }

    /// Returns the index of the server with this name; `None` if it is not known.
    pub(crate) fn find(&self, node: &NodeId) -> Option<ServerIndex> {
        self.by_name.get(node).copied()
    }

    /// Returns whether the server with this index is known, that is, has not been forgotten.
    pub(crate) fn is_known(&self, index: ServerIndex) -> bool {
        self.by_name.values().any(|known| *known == index)
    }

    /// Returns the servers that serve or drain, in order of their names.
    pub(crate) fn listed(&self) -> impl Iterator<Item = &Server> {
        let servers = self.by_name.values().map(|index| &self.servers[*index]);
        servers.filter(|server| server.state() != ServingState::Removed)
    }

    /// Returns the indexes of the servers at which this aggregator has outstanding work.
    pub(crate) fn with_own_work(&self) -> impl Iterator<Item = ServerIndex> {
        let indexes = self.servers.indexes();
        indexes.filter(move |index| self.servers[*index].outstanding().own() > 0.0)
    }

    /// Returns the replica rows: the holders of each shard.
    pub(crate) fn rows(&self) -> &ReplicaRows {
        &self.rows
    }

    /// Returns the servers that hold a shard, in row order: the server at position `r` is in
    /// replica row `r`.
    pub(crate) fn holders(&self, shard: usize) -> &[ServerIndex] {
        self.rows.holders(shard)
    }

    /// Returns the median latency per work of the servers.
    pub(crate) fn latency(&self) -> &FleetLatency {
        &self.latency
    }

    /// Returns the rate at which a warm server serves the work of this aggregator.
    pub(crate) fn served_rate(&self) -> &ServedRate {
        &self.served_rate
    }

    /// Returns the error rate to expect from attempts of a class at a server: the maximum of the
    /// server's error rate and its error rate for that class. If the server's latency has not been
    /// observed within the shortest latency objective, the maximum also includes the share of
    /// unanswered attempts in the server's zone. When a network partition separates a zone, its
    /// servers are then avoided without a failed attempt at each of them.
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

    /// Starts a batch. Parts sent in the new batch do not share calls with those of earlier
    /// batches.
    pub(crate) fn on_batch(&mut self) {
        for server in self.servers.iter_mut() {
            server.on_batch();
        }
    }

    /// Applies an update of the endpoint list. Servers that are missing from a complete list count
    /// as removed.
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

    /// Records an attempt that is being sent.
    pub(crate) fn record_send(&mut self, attempt: &InFlightAttempt) {
        self.servers[attempt.server].record_send(attempt);
    }

    /// Records that an attempt is no longer in flight. Updates the share of unanswered attempts in
    /// the server's zone and the server's error rate for the attempt's class.
    pub(crate) fn record_end(&mut self, ended: &EndedAttempt) {
        let server = &mut self.servers[ended.attempt().server];
        if let Some(response) = ended.response() {
            self.zone_silence.record(server.zone(), response);
        }
        server.record_end(ended);
    }

    /// Updates the statistics of the server and the fleet with an attempt that was served.
    pub(crate) fn on_answer(&mut self, batch: &BatchContext, ended: &EndedAttempt) {
        let attempt = ended.attempt();
        self.served_rate.record_served(attempt.work);
        self.servers[attempt.server].on_answer(batch, ended);
    }

    /// Ejects the server of an attempt that was rejected for lack of capacity.
    pub(crate) fn on_overload(&mut self, ended: &EndedAttempt, context: &EjectionContext) {
        self.servers[ended.attempt().server].on_overload(context);
    }

    /// Updates the latency estimate of a server with an attempt that timed out. The timeout is also
    /// a failure, which the caller passes to [`Fleet::on_failure`] afterwards.
    pub(crate) fn on_timeout(&mut self, batch: &BatchContext, ended: &EndedAttempt) {
        self.servers[ended.attempt().server].on_timeout(batch.now, ended, &self.latency);
    }

    /// Updates the health of a server with an attempt that failed, and ejects the server if
    /// necessary.
    pub(crate) fn on_failure(
        &mut self,
        batch: &BatchContext,
        ended: &EndedAttempt,
        context: &EjectionContext,
    ) {
        self.servers[ended.attempt().server].on_failure(batch, ended, context);
    }

    /// Applies a server's load report: `load` requests wait or run there, each with `part_cost` of
    /// work.
    pub(crate) fn on_load_report(
        &mut self,
        batch: &BatchContext,
        server: ServerIndex,
        load: f64,
        part_cost: Ms,
    ) {
        self.servers[server].on_load_report(batch, load, part_cost, &self.latency);
    }

    /// Applies a report that another aggregator published about a server. A report on an unknown
    /// server is ignored.
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

    /// Starts a control interval: updates the fleet's latency and the averages of all servers, and
    /// draws a random number for the slow start of each server. The number decides whether a
    /// warming server may be sent an attempt above its allowance in this interval.
    pub(crate) fn start_interval(&mut self, batch: &BatchContext, random: &mut RandomSource) {
        let latencies = self.servers.iter().map(Server::latency);
        self.latency.update(batch.now, latencies);
        for server in self.servers.iter_mut() {
            server.start_interval(batch, random.fraction(), &self.latency);
        }
        let warm_servers = self.servers.iter().filter(|server| server.is_warm());
        self.served_rate.end_interval(warm_servers.count());
    }

    /// Forgets each removed server whose latency has not been observed for the duration of a
    /// warm-up, unless it is in `in_use`. This bounds the number of records where servers are
    /// replaced by others with new names.
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
        self.free_indexes.extend(forgotten);
    }

    /// Returns the index of the server with this name, and adds the server if it is not known.
    fn find_or_add(&mut self, node: &NodeId) -> ServerIndex {
        if let Some(index) = self.find(node) {
            return index;
        }
        let server = Server::new(node.clone(), &self.latency);
        let index = match self.free_indexes.pop() {
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

    /// Determines the holders of each shard from the servers that serve now.
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
