//! Sending and receiving of gossip messages.

use crate::aggregator::Aggregator;
use crate::api::Action;
use crate::state::{GossipEntry, GossipStatus, PeerLoadReport, ServerIndex, ShortName};

impl Aggregator {
    /// Publishes what has changed at each server. Entries state totals, so that the next
    /// message makes up for a lost one.
    pub(crate) fn publish_load(&mut self) {
        if !self.is_publish_due() {
            return;
        }
        self.next_publish_at = self.now + self.publish_interval();
        let unpublished = std::mem::take(&mut self.unpublished);
        let entry = |index: &ServerIndex| {
            let server = &self.fleet.servers[*index];
            GossipEntry {
                server: ShortName::of(&server.node),
                status: self.gossip_status(server),
            }
        };
        let entries: Vec<GossipEntry> = unpublished.iter().map(entry).collect();
        for bytes in GossipEntry::encode(&entries) {
            self.actions.push(Action::PublishLoad { bytes });
        }
    }

    /// Takes over a gossip message. One that is malformed or from an unknown aggregator is ignored.
    pub(crate) fn on_gossip(&mut self, from: usize, bytes: &[u8]) {
        let Some(entries) = GossipEntry::decode(bytes).filter(|_| from < self.settings.aggregators)
        else {
            return;
        };
        self.gossip_received_at = self.now;
        let ejection = self.draw_peer_ejection();
        for entry in entries {
            let Some(server) = self.fleet.by_short_name.get(&entry.server).copied() else {
                continue;
            };
            let work = match entry.status {
                GossipStatus::Failing => 0.0,
                GossipStatus::Work { steps } => steps * self.gossip_work_step(),
            };
            let is_failing = matches!(entry.status, GossipStatus::Failing);
            let report = PeerLoadReport {
                work,
                is_failing,
                received_at: self.now,
            };
            let previous = self.fleet.servers[server].replace_peer_report(from, report);
            if is_failing {
                self.on_peer_failure(server, ejection);
            } else if previous.is_failing {
                self.on_peer_recovery(server);
            }
        }
    }
}
