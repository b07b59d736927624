//! Selection of the server for an attempt.
//!
//! [`ServerSelector`] compares the holders of a shard; it has no state of its own.

use super::batch_context::BatchContext;
use super::forecast::Forecaster;
use super::load_gossip::LoadGossip;
use crate::api::Ms;
use crate::fleet::{Fleet, ServerIndex};
use crate::queries::{InFlightQuery, PartState};

/// Margin by which another server's forecast must be better for a part to leave its row, in
/// latency objectives.
const FALLBACK_MARGIN_OBJECTIVES: f64 = 0.06;
/// Added to the forecast of a server in another zone for the cost of the crossing, in latency
/// objectives.
const CROSS_ZONE_PENALTY_OBJECTIVES: f64 = 0.05;

/// A server that an attempt for a part may go to.
struct Candidate {
    server: ServerIndex,
    /// Forecast latency with the penalty for crossing zones.
    score: Ms,
    /// Whether it may be selected without need.
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
    /// A selector with this knowledge.
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

    /// The server of the part's row, unless it is ineligible or clearly slower than the
    /// best eligible holder. With no eligible holder, the best of the others, so that the
    /// last one is never ejected. Holders not tried yet go first. `None` if all are
    /// removed, or warming up without allowance.
    pub(crate) fn select(&self, query: &InFlightQuery, part: &PartState) -> Option<ServerIndex> {
        let work = self.forecaster.part_cost(query, part);
        let candidates = self.candidates(query, part, work);
        let eligible = candidates.iter().filter(|candidate| candidate.is_eligible);
        let Some(best) = lowest_score(eligible) else {
            let may_warm_up =
                |candidate: &&Candidate| self.allows_slow_start(candidate.server, work);
            let best = lowest_score(candidates.iter().filter(may_warm_up));
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

    /// Whether a server is not ejected and may be sent work. After failures it gets one
    /// attempt at a time.
    pub(crate) fn is_eligible(&self, server: ServerIndex, work: Ms) -> bool {
        let record = self.fleet.server(server);
        record.may_receive_attempt(self.batch.now) && self.allows_slow_start(server, work)
    }

    /// The holders of the part's shard, without those tried before if any was not.
    fn candidates(&self, query: &InFlightQuery, part: &PartState, work: Ms) -> Vec<Candidate> {
        let holders = self.fleet.holders(part.shard());
        let untried_only = holders.iter().any(|server| !part.was_sent_to(*server));
        let is_allowed = |server: &&ServerIndex| !(untried_only && part.was_sent_to(**server));
        let candidate = |server: &ServerIndex| self.candidate(query, *server, work);
        holders.iter().filter(is_allowed).map(candidate).collect()
    }

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

    fn allows_slow_start(&self, server: ServerIndex, work: Ms) -> bool {
        let server = self.fleet.server(server);
        let is_current = self.gossip.is_current(self.batch.now);
        let peer_work = is_current.then(|| server.outstanding().published());
        let served_rate = self.fleet.served_rate();
        let slow_start = server.slow_start();
        slow_start.allows(self.batch, work, served_rate, peer_work)
    }

    fn is_cross_zone(&self, server: ServerIndex) -> bool {
        let zone = self.fleet.server(server).zone();
        let own_zone = self.batch.settings.zone;
        zone.is_some() && own_zone.is_some() && zone != own_zone
    }
}

fn lowest_score<'a>(candidates: impl Iterator<Item = &'a Candidate>) -> Option<&'a Candidate> {
    candidates.min_by(|a, b| a.score.total_cmp(&b.score))
}
