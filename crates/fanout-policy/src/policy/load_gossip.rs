//! Gossip between aggregators: what is published about servers and when, and what a message
//! changes.
//!
//! [`LoadGossip`] owns the set of servers to publish and the times of messages.

use super::batch_context::BatchContext;
use super::batch_timer::CONTROL_INTERVAL_MS;
use super::gossip_codec::{GossipEntry, GossipStatus, ShortName};
use super::outlier_detection::EjectionJitter;
use super::outstanding_work::PeerReport;
use crate::api::Ms;
use crate::fleet::{Fleet, Server, ServerIndex};
use crate::random::RandomSource;
use std::collections::BTreeSet;

/// Time between gossip messages without a send, in shortest latency objectives.
const INTERVAL_OBJECTIVES: f64 = 0.06;
/// Unit of published work, in shortest latency objectives.
const WORK_STEP_OBJECTIVES: f64 = 1.0 / 128.0;

/// State of the gossip of this aggregator.
pub(crate) struct LoadGossip {
    /// Servers whose outstanding work has changed since it was last published.
    unpublished: BTreeSet<ServerIndex>,
    /// Earliest time of the next message.
    next_publish_at: Ms,
    /// When a message of another aggregator last arrived.
    received_at: Ms,
}

impl LoadGossip {
    /// Nothing to publish and nothing received.
    pub(crate) fn new() -> Self {
        LoadGossip {
            unpublished: BTreeSet::new(),
            next_publish_at: 0.0,
            received_at: f64::NEG_INFINITY,
        }
    }

    /// Whether other aggregators have published within the last control interval.
    pub(crate) fn is_current(&self, now: Ms) -> bool {
        self.received_at > now - CONTROL_INTERVAL_MS
    }

    /// Marks a server to which an attempt is sent. It is published at once.
    pub(crate) fn on_send(&mut self, now: Ms, server: ServerIndex) {
        self.unpublished.insert(server);
        self.next_publish_at = now;
    }

    /// Marks a server whose outstanding work has changed. It is published together with others.
    pub(crate) fn mark_changed(&mut self, server: ServerIndex) {
        self.unpublished.insert(server);
    }

    /// Removes the marks of servers that have been forgotten.
    pub(crate) fn discard_unknown(&mut self, fleet: &Fleet) {
        self.unpublished.retain(|server| fleet.is_known(*server));
    }

    /// The messages to publish now, if any are due. Entries state totals, so that the next
    /// message makes up for a lost one.
    pub(crate) fn publish_if_due(&mut self, batch: &BatchContext, fleet: &Fleet) -> Vec<Vec<u8>> {
        if !self.is_due(batch) {
            return Vec::new();
        }
        self.next_publish_at = batch.now + INTERVAL_OBJECTIVES * batch.shortest_objective();
        let unpublished = std::mem::take(&mut self.unpublished);
        let entry = |index: &ServerIndex| {
            let server = fleet.server(*index);
            GossipEntry {
                server: ShortName::of(server.node()),
                status: status_of(batch, server),
            }
        };
        let entries: Vec<GossipEntry> = unpublished.iter().map(entry).collect();
        GossipEntry::encode(&entries)
    }

    /// Applies a message. One that is malformed or from an unknown aggregator is ignored.
    pub(crate) fn on_message(
        &mut self,
        batch: &BatchContext,
        message: GossipMessage,
        fleet: &mut Fleet,
        random: &mut RandomSource,
    ) {
        if message.from >= batch.settings.aggregators {
            return;
        }
        let Some(entries) = GossipEntry::decode(message.bytes) else {
            return;
        };
        self.received_at = batch.now;
        let jitter = EjectionJitter::draw(random);
        let ejection = jitter.peer_ejection(batch.shortest_objective());
        for entry in entries {
            let report = match entry.status {
                GossipStatus::Failing => PeerReport::Failing { ejection },
                GossipStatus::Work { steps } => PeerReport::Answering {
                    work: steps * work_step(batch),
                },
            };
            fleet.on_peer_report(batch, message.from, entry.server, report);
        }
    }

    fn is_due(&self, batch: &BatchContext) -> bool {
        let may_publish = batch.settings.gossip && !self.unpublished.is_empty();
        may_publish && batch.now >= self.next_publish_at
    }
}

/// A message of another aggregator.
#[derive(Clone, Copy)]
pub(crate) struct GossipMessage<'a> {
    from: usize,
    bytes: &'a [u8],
}

impl<'a> GossipMessage<'a> {
    /// A message from the aggregator with this index.
    pub(crate) fn new(from: usize, bytes: &'a [u8]) -> Self {
        GossipMessage { from, bytes }
    }
}

/// What to publish about a server. Without this, a server that others have loaded looks idle.
fn status_of(batch: &BatchContext, server: &Server) -> GossipStatus {
    if server.is_ejected_as_unresponsive(batch.now) {
        return GossipStatus::Failing;
    }
    GossipStatus::Work {
        steps: server.outstanding().own() / work_step(batch),
    }
}

/// Unit of published work.
fn work_step(batch: &BatchContext) -> Ms {
    WORK_STEP_OBJECTIVES * batch.shortest_objective()
}
