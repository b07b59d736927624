//! Gossip between aggregators: when this aggregator publishes its outstanding work at servers, and
//! how it applies the messages of the others.
//!
//! [`LoadGossip`] owns the set of servers to publish, the time of the next message, and the time of
//! the last message received.

use super::batch_context::BatchContext;
use super::batch_timer::CONTROL_INTERVAL_MS;
use super::gossip_codec::{GossipEntry, GossipStatus, ShortName};
use super::outlier_detection::EjectionJitter;
use super::outstanding_work::PeerReport;
use crate::api::Ms;
use crate::fleet::{Fleet, Server, ServerIndex};
use crate::random::RandomSource;
use std::collections::BTreeSet;

/// Minimum time between two gossip messages, in multiples of the shortest latency objective.
/// Changes in between are published together. A batch that sends an attempt publishes regardless
/// of the minimum.
const INTERVAL_OBJECTIVES: f64 = 0.06;
/// Unit in which work is published, in multiples of the shortest latency objective.
const WORK_STEP_OBJECTIVES: f64 = 1.0 / 128.0;

/// Decides when this aggregator publishes gossip, and applies the gossip of the others.
pub(crate) struct LoadGossip {
    /// Servers whose outstanding work has changed since it was last published.
    unpublished: BTreeSet<ServerIndex>,
    /// Earliest time of the next message.
    next_publish_at: Ms,
    /// Time at which the last valid message of another aggregator arrived.
    received_at: Ms,
}

impl LoadGossip {
    /// Creates the state of an aggregator that has nothing to publish and has received nothing.
    pub(crate) fn new() -> Self {
        LoadGossip {
            unpublished: BTreeSet::new(),
            next_publish_at: 0.0,
            received_at: f64::NEG_INFINITY,
        }
    }

    /// Returns whether a message of another aggregator has arrived within the last control
    /// interval.
    pub(crate) fn is_current(&self, now: Ms) -> bool {
        self.received_at > now - CONTROL_INTERVAL_MS
    }

    /// Marks a server to which an attempt is sent. It is published at the end of the current
    /// batch.
    pub(crate) fn on_send(&mut self, now: Ms, server: ServerIndex) {
        self.unpublished.insert(server);
        self.next_publish_at = now;
    }

    /// Marks a server whose outstanding work has changed. It is published with the next message.
    pub(crate) fn mark_changed(&mut self, server: ServerIndex) {
        self.unpublished.insert(server);
    }

    /// Removes the marks of servers that the fleet no longer holds.
    pub(crate) fn discard_unknown(&mut self, fleet: &Fleet) {
        self.unpublished.retain(|server| fleet.is_known(*server));
    }

    /// Returns the messages to publish now; none if no message is due. Each entry states the total
    /// outstanding work at a server and not its change, so that after a lost message the next
    /// entry for the server is correct again.
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

    /// Applies a message of another aggregator to the servers that it names. A message that is
    /// malformed, or whose sender is not one of the aggregators in the settings, is ignored.
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

    /// Returns whether there is something to publish, gossip is enabled, and the earliest time of
    /// the next message has come.
    fn is_due(&self, batch: &BatchContext) -> bool {
        let may_publish = batch.settings.gossip && !self.unpublished.is_empty();
        may_publish && batch.now >= self.next_publish_at
    }
}

/// Gossip message of another aggregator, as received.
#[derive(Clone, Copy)]
pub(crate) struct GossipMessage<'a> {
    /// Index of the sender.
    from: usize,
    bytes: &'a [u8],
}

impl<'a> GossipMessage<'a> {
    /// Creates a message from the aggregator with the index `from`.
    pub(crate) fn new(from: usize, bytes: &'a [u8]) -> Self {
        GossipMessage { from, bytes }
    }
}

/// Returns the status of a server to publish: that it is failing if this aggregator has ejected it
/// as unresponsive, and this aggregator's outstanding work there otherwise. Without the published
/// work, the other aggregators would assume that the server is idle while it is busy with work of
/// this aggregator.
fn status_of(batch: &BatchContext, server: &Server) -> GossipStatus {
    if server.is_ejected_as_unresponsive(batch.now) {
        return GossipStatus::Failing;
    }
    GossipStatus::Work {
        steps: server.outstanding().own() / work_step(batch),
    }
}

/// Returns the unit in which work is published, in ms.
fn work_step(batch: &BatchContext) -> Ms {
    WORK_STEP_OBJECTIVES * batch.shortest_objective()
}
