//! Selection of the server for an attempt.

use super::tuning::{CROSS_ZONE_PENALTY, EJECTION_CONSECUTIVE_FAILURES, FALLBACK_MARGIN};
use crate::aggregator::Aggregator;
use crate::api::Ms;
use crate::state::{Candidate, InFlightQuery, ServerIndex};

impl Aggregator {
    /// The server of the part's row, unless it is ineligible or clearly slower than the
    /// best eligible holder. With no eligible holder, the best of the others, so that the
    /// last one is never ejected. Holders not tried yet go first. `None` if all are
    /// removed, or warming up without allowance.
    pub(crate) fn select_server(&self, query: &InFlightQuery, index: usize) -> Option<ServerIndex> {
        let part = &query.parts[index];
        let work = self.part_cost(query, index);
        let holders = self.fleet.rows.holders(part.shard);
        let untried_only = holders.iter().any(|server| !part.was_sent_to(*server));
        let is_allowed = |server: &&ServerIndex| !(untried_only && part.was_sent_to(**server));
        let candidate = |server: &ServerIndex| self.candidate(query, *server, work);
        let candidates: Vec<Candidate> = holders.iter().filter(is_allowed).map(candidate).collect();
        let Some(best) = lowest_score(candidates.iter().filter(|candidate| candidate.is_eligible))
        else {
            let allowed =
                |candidate: &&Candidate| self.has_slow_start_allowance(candidate.server, work);
            return lowest_score(candidates.iter().filter(allowed))
                .map(|candidate| candidate.server);
        };
        let max_score = best.score + FALLBACK_MARGIN * self.objective(query);
        let keeps_row = |candidate: &&Candidate| {
            Some(candidate.server) == part.row_server
                && candidate.is_eligible
                && candidate.score <= max_score
        };
        Some(candidates.iter().find(keeps_row).unwrap_or(best).server)
    }

    fn candidate(&self, query: &InFlightQuery, server: ServerIndex, work: Ms) -> Candidate {
        let penalty = CROSS_ZONE_PENALTY * self.objective(query);
        let penalty = if self.is_cross_zone(server) {
            penalty
        } else {
            0.0
        };
        Candidate {
            server,
            score: self.forecast(server, query.class, work + self.call_cost(server)) + penalty,
            is_eligible: self.is_eligible(server, work),
        }
    }

    /// Whether a server is not ejected and may be sent work. After failures it gets one
    /// attempt at a time.
    pub(crate) fn is_eligible(&self, server: ServerIndex, work: Ms) -> bool {
        let record = &self.fleet.servers[server];
        let may_try = record.consecutive_failures < EJECTION_CONSECUTIVE_FAILURES
            || record.in_flight.is_empty();
        may_try && self.now >= record.ejected_until && self.has_slow_start_allowance(server, work)
    }

    fn is_cross_zone(&self, server: ServerIndex) -> bool {
        let zone = self.fleet.servers[server].zone;
        zone.is_some() && self.settings.zone.is_some() && zone != self.settings.zone
    }
}

fn lowest_score<'a>(candidates: impl Iterator<Item = &'a Candidate>) -> Option<&'a Candidate> {
    candidates.min_by(|a, b| a.score.total_cmp(&b.score))
}
