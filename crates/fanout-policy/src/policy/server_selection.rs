//! Selection of the server that an attempt is sent to.
//!
//! [`ServerSelector`] compares the forecast latencies of a shard's holders. It has no state of
//! its own.

use super::batch_context::BatchContext;
use super::forecast::Forecaster;
use super::load_gossip::LoadGossip;
use crate::api::Ms;
use crate::fleet::{Fleet, ServerIndex};
use crate::queries::{InFlightQuery, PartState};

/// A part is sent to the server of its row unless the score of that server exceeds the best score
/// by more than this margin, in latency objectives.
const FALLBACK_MARGIN_OBJECTIVES: f64 = 0.06;
/// Penalty added to the forecast latency of a server in another zone for the cost of traffic
/// between zones, in latency objectives.
const CROSS_ZONE_PENALTY_OBJECTIVES: f64 = 0.05;

/// A holder of a part's shard that the next attempt may be sent to.
struct Candidate {
    server: ServerIndex,
    /// Forecast latency plus the penalty for a server in another zone. The lowest score is best.
    score: Ms,
    /// Whether the server is eligible. Other servers are selected only if none is eligible.
    is_eligible: bool,
}

/// Selects servers in one batch.
#[derive(Clone, Copy)]
pub(crate) struct ServerSelector<'a> {
    batch: &'a BatchContext<'a>,
    fleet: &'a Fleet,
    gossip: &'a LoadGossip,
    forecaster: Forecaster<'a>,
}

impl<'a> ServerSelector<'a> {
    /// Creates a selector for the current batch.
    pub(crate) fn new(
        batch: &'a BatchContext<'a>,
        fleet: &'a Fleet,
        gossip: &'a LoadGossip,
        forecaster: Forecaster<'a>,
    ) -> Self {
        ServerSelector {
            batch,
            fleet,
            gossip,
            forecaster,
        }
    }

    /// Selects the server for the next attempt of a part.
    ///
    /// Compares the holders of the shard to which no attempt of the part was sent yet. If each
    /// holder was sent an attempt, compares all of them. The server of the part's row is
    /// selected, unless it is ineligible or its score exceeds that of the best eligible server
    /// by more than the margin [`FALLBACK_MARGIN_OBJECTIVES`]; then the best eligible server is
    /// selected. If no server is eligible, the best of those that slow start allows is selected
    /// even while it is ejected, so that ejections alone never leave a shard without a server.
    ///
    /// Returns `None` if the shard has no holder, or if slow start allows none of the servers
    /// compared any more work.
    pub(crate) fn select(&self, query: &InFlightQuery, part: &PartState) -> Option<ServerIndex> {
        let work = self.forecaster.part_cost(query, part);
        let candidates = self.candidates(query, part, work);
        let eligible = candidates.iter().filter(|candidate| candidate.is_eligible);
        let Some(best) = lowest_score(eligible) else {
            let is_allowed =
                |candidate: &&Candidate| self.slow_start_allows(candidate.server, work);
            let best = lowest_score(candidates.iter().filter(is_allowed));
            return best.map(|candidate| candidate.server);
        };
        let max_score = best.score + FALLBACK_MARGIN_OBJECTIVES * self.batch.objective(query);
        let keeps_row = |candidate: &&Candidate| {
            Some(candidate.server) == part.row_server()
                && candidate.is_eligible
                && candidate.score <= max_score
        };
        Some(candidates.iter().find(keeps_row).unwrap_or(best).server)
    }

    /// Returns whether a server is not ejected and slow start allows it `work` more work. After
    /// consecutive failures a server is eligible only while this aggregator has no attempt in
    /// flight to it, so that it receives one attempt at a time.
    pub(crate) fn is_eligible(&self, server: ServerIndex, work: Ms) -> bool {
        let record = self.fleet.server(server);
        record.may_receive_attempt(self.batch.now) && self.slow_start_allows(server, work)
    }

    /// Returns the holders of the part's shard as candidates. Holders that an attempt of the
    /// part was sent to are left out, unless all of them were tried.
    fn candidates(&self, query: &InFlightQuery, part: &PartState, work: Ms) -> Vec<Candidate> {
        let holders = self.fleet.holders(part.shard());
        let untried_only = holders.iter().any(|server| !part.was_sent_to(*server));
        let is_allowed = |server: &&ServerIndex| !(untried_only && part.was_sent_to(**server));
        let candidate = |server: &ServerIndex| self.candidate(query, *server, work);
        holders.iter().filter(is_allowed).map(candidate).collect()
    }

    /// Computes the score and the eligibility of a server for an attempt with `work` more work.
    fn candidate(&self, query: &InFlightQuery, server: ServerIndex, work: Ms) -> Candidate {
        let penalty = if self.is_cross_zone(server) {
            CROSS_ZONE_PENALTY_OBJECTIVES * self.batch.objective(query)
        } else {
            0.0
        };
        let work_with_call = work + self.forecaster.call_cost(server);
        let latency = self
            .forecaster
            .latency(server, query.class(), work_with_call);
        Candidate {
            server,
            score: latency + penalty,
            is_eligible: self.is_eligible(server, work),
        }
    }

    /// Returns whether a server is warm, or can be sent `work` more work while it warms up. The
    /// work published by other aggregators is used only while their gossip is current.
    fn slow_start_allows(&self, server: ServerIndex, work: Ms) -> bool {
        let server = self.fleet.server(server);
        let is_gossip_current = self.gossip.is_current(self.batch.now);
        let peer_work = is_gossip_current.then(|| server.outstanding().published());
        let served_rate = self.fleet.served_rate();
        let slow_start = server.slow_start();
        slow_start.allows(self.batch, work, served_rate, peer_work)
    }

    /// Returns whether a server is in another zone than this aggregator. `false` if either zone
    /// is unknown.
    fn is_cross_zone(&self, server: ServerIndex) -> bool {
        let zone = self.fleet.server(server).zone();
        let own_zone = self.batch.settings.zone;
        zone.is_some() && own_zone.is_some() && zone != own_zone
    }
}

fn lowest_score<'a>(candidates: impl Iterator<Item = &'a Candidate>) -> Option<&'a Candidate> {
    candidates.min_by(|a, b| a.score.total_cmp(&b.score))
}
