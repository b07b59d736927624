//! Gossip between aggregators: what is published about servers, and what a report from another
//! one changes.

use super::tuning::{
    GOSSIP_INTERVAL, GOSSIP_WORK_STEP, JITTER_RANGE, MIN_DIVISOR, MIN_EJECTION, MIN_JITTER,
};
use crate::aggregator::Aggregator;
use crate::api::Ms;
use crate::state::{GossipStatus, Server, ServerIndex};

impl Aggregator {
    /// Whether to publish changes now. Attempts sent are published at once, other changes together.
    pub(crate) fn is_publish_due(&self) -> bool {
        self.settings.gossip && !self.unpublished.is_empty() && self.now >= self.next_publish_at
    }

    /// Time between two messages that publish no attempt.
    pub(crate) fn publish_interval(&self) -> Ms {
        GOSSIP_INTERVAL * self.shortest_objective()
    }

    /// What to publish about a server. Without this, a server that others have loaded looks idle.
    pub(crate) fn gossip_status(&self, server: &Server) -> GossipStatus {
        if server.is_unresponsive && self.now < server.ejected_until {
            return GossipStatus::Failing;
        }
        let steps = server.outstanding_work / self.gossip_work_step();
        GossipStatus::Work { steps }
    }

    /// Unit of published work.
    pub(crate) fn gossip_work_step(&self) -> Ms {
        GOSSIP_WORK_STEP * self.shortest_objective()
    }

    /// Length of the ejections that follow from one message.
    pub(crate) fn draw_peer_ejection(&mut self) -> Ms {
        MIN_EJECTION
            * self.shortest_objective()
            * (MIN_JITTER + JITTER_RANGE * self.random.fraction())
    }

    /// Ejects a server that fails for another aggregator, unless it has answered this one
    /// as recently.
    pub(crate) fn on_peer_failure(&mut self, server: ServerIndex, ejection: Ms) {
        let server = &mut self.fleet.servers[server];
        if server.last_served_sent_at < self.now - ejection {
            server.ejected_until = server.ejected_until.max(self.now + ejection);
        }
    }

    /// Ends the ejection of a server that answers another aggregator again. All aggregators
    /// return to it at once, so it is assumed to be slow at first.
    pub(crate) fn on_peer_recovery(&mut self, server: ServerIndex) {
        let initial_capacity = self.settings.warm_up.initial_capacity.max(MIN_DIVISOR);
        let latency_per_work = self.fleet_latency_per_work / initial_capacity;
        let server = &mut self.fleet.servers[server];
        server.ejected_until = server.ejected_until.min(self.now);
        server.latency_per_work = server.latency_per_work.max(latency_per_work);
    }
}
