//! Latency forecasts.
//!
//! [`Forecaster`] derives them from the servers and the estimates of the classes; it has no
//! state of its own.

use super::batch_context::BatchContext;
use super::class_estimates::ClassEstimates;
use crate::api::Ms;
use crate::fleet::{Fleet, ServerIndex};
use crate::queries::{InFlightAttempt, InFlightQuery, PartState};

/// Added to the forecast per unit of error rate for the attempt that an error costs, in
/// shortest latency objectives.
const ERROR_PENALTY_OBJECTIVES: f64 = 0.5;

/// Forecasts latencies for one batch.
#[derive(Clone, Copy)]
pub(crate) struct Forecaster<'a> {
    batch: &'a BatchContext<'a>,
    fleet: &'a Fleet,
    classes: &'a [ClassEstimates],
}

impl<'a> Forecaster<'a> {
    /// A forecaster with this knowledge.
    pub(crate) fn new(
        batch: &'a BatchContext<'a>,
        fleet: &'a Fleet,
        classes: &'a [ClassEstimates],
    ) -> Self {
        Forecaster {
            batch,
            fleet,
            classes,
        }
    }

    /// Forecast time until the answer to `work` more work at a server: the server's latency
    /// for all outstanding work, its known delay, and a penalty for its error rate.
    pub(crate) fn latency(&self, server: ServerIndex, class: usize, work: Ms) -> Ms {
        let server = self.fleet.server(server);
        let error_rate = self.fleet.error_rate(self.batch, server, class);
        let errors = error_rate * ERROR_PENALTY_OBJECTIVES * self.batch.shortest_objective();
        let now = self.batch.now;
        let total_work = server.peer_work(now) + server.outstanding().own() + work;
        server.latency().per_work() * total_work + server.known_delay(now) + errors
    }

    /// Estimated cost of a part.
    pub(crate) fn part_cost(&self, query: &InFlightQuery, part: &PartState) -> Ms {
        self.classes[query.class()].hinted_part_cost(part.cost_hint())
    }

    /// Cost of the call that another part would open at a server; parts sent in one batch
    /// share calls.
    pub(crate) fn call_cost(&self, server: ServerIndex) -> Ms {
        let settings = self.batch.settings;
        let outstanding = self.fleet.server(server).outstanding();
        if outstanding.next_part_opens_call(settings.max_parts_per_call) {
            settings.call_cost
        } else {
            0.0
        }
    }

    /// Work that an attempt for a part adds at a server.
    fn attempt_work(&self, query: &InFlightQuery, part: &PartState, server: ServerIndex) -> Ms {
        self.part_cost(query, part) + self.call_cost(server)
    }

    /// An attempt for a part that is sent now.
    pub(crate) fn attempt(
        &self,
        query: &InFlightQuery,
        part: &PartState,
        server: ServerIndex,
    ) -> InFlightAttempt {
        let work = self.attempt_work(query, part, server);
        let record = self.fleet.server(server);
        let now = self.batch.now;
        InFlightAttempt {
            server,
            class: query.class(),
            work,
            work_ahead: record.peer_work(now) + (record.outstanding().own() + work),
            sent_at: now,
            expected_latency: self.latency(server, query.class(), work),
        }
    }

    /// Forecast time until the answer to an attempt for a part that is sent now.
    pub(crate) fn attempt_latency(
        &self,
        query: &InFlightQuery,
        part: &PartState,
        server: ServerIndex,
    ) -> Ms {
        let work = self.attempt_work(query, part, server);
        self.latency(server, query.class(), work)
    }

    /// Forecast time until the answer to a part from its best holder, if it has any.
    pub(crate) fn best_latency(&self, query: &InFlightQuery, part: &PartState) -> Option<Ms> {
        let work = self.part_cost(query, part);
        let holders = self.fleet.holders(part.shard()).iter();
        let latencies = holders.map(|server| self.latency(*server, query.class(), work));
        let best = latencies.fold(f64::INFINITY, f64::min);
        best.is_finite().then_some(best)
    }

    /// By how much queries of the same class take longer than forecast.
    pub(crate) fn expected_error(&self, query: &InFlightQuery) -> Ms {
        self.classes[query.class()].forecast_error()
    }
}
