//! Latency forecasts for attempts and parts.
//!
//! [`Forecaster`] computes them from the state of the servers and the estimates of the query
//! classes. It has no state of its own.

use super::batch_context::BatchContext;
use super::class_estimates::ClassEstimates;
use crate::api::Ms;
use crate::fleet::{Fleet, ServerIndex};
use crate::queries::{InFlightAttempt, InFlightQuery, PartState};

/// Penalty that is added to the forecast latency at a server with an error rate of 1, in multiples
/// of the shortest latency objective. At a lower error rate the penalty is proportionally smaller.
/// It stands for the time that a failed attempt costs.
const ERROR_PENALTY_OBJECTIVES: f64 = 0.5;

/// Forecasts latencies in one batch.
#[derive(Clone, Copy)]
pub(crate) struct Forecaster<'a> {
    batch: &'a BatchContext<'a>,
    fleet: &'a Fleet,
    classes: &'a [ClassEstimates],
}

impl<'a> Forecaster<'a> {
    /// Creates a forecaster for the current batch.
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

    /// Forecasts how long a server takes to answer an attempt that adds `work` to its outstanding
    /// work. `class` is the index of the query's class. The forecast is the sum of three terms:
    ///
    /// - the server's latency per work times all outstanding work there, including `work`;
    /// - the delay that is already known, see `Server::known_delay`;
    /// - the penalty for the server's error rate.
    pub(crate) fn latency(&self, server: ServerIndex, class: usize, work: Ms) -> Ms {
        let server = self.fleet.server(server);
        let error_rate = self.fleet.error_rate(self.batch, server, class);
        let errors = error_rate * ERROR_PENALTY_OBJECTIVES * self.batch.shortest_objective();
        let now = self.batch.now;
        let total_work = server.peer_work(now) + server.outstanding().own() + work;
        server.latency().per_work() * total_work + server.known_delay(now) + errors
    }

    /// Returns the estimated cost of a part in ms of server time, adjusted by the part's cost
    /// hint if it has one.
    pub(crate) fn part_cost(&self, query: &InFlightQuery, part: &PartState) -> Ms {
        self.classes[query.class()].hinted_part_cost(part.cost_hint())
    }

    /// Returns the cost of the call in which the next part would be sent to a server. It is 0
    /// if that part fits into a call of the current batch, since parts that are sent to one
    /// server in one batch share calls.
    pub(crate) fn call_cost(&self, server: ServerIndex) -> Ms {
        let settings = self.batch.settings;
        let outstanding = self.fleet.server(server).outstanding();
        if outstanding.next_part_opens_call(settings.max_parts_per_call) {
            settings.call_cost
        } else {
            0.0
        }
    }

    /// Returns the work that an attempt adds at a server: the part's cost and, if it opens a
    /// call, the call's cost.
    fn attempt_work(&self, query: &InFlightQuery, part: &PartState, server: ServerIndex) -> Ms {
        self.part_cost(query, part) + self.call_cost(server)
    }

    /// Creates the record of an attempt for a part that is sent to a server now.
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

    /// Forecasts how long a server takes to answer an attempt for a part that is sent now.
    pub(crate) fn attempt_latency(
        &self,
        query: &InFlightQuery,
        part: &PartState,
        server: ServerIndex,
    ) -> Ms {
        let work = self.attempt_work(query, part, server);
        self.latency(server, query.class(), work)
    }

    /// Returns the lowest forecast latency of a part among the holders of its shard, without
    /// the cost of a call. `None` if no holder has a finite forecast.
    pub(crate) fn best_latency(&self, query: &InFlightQuery, part: &PartState) -> Option<Ms> {
        let work = self.part_cost(query, part);
        let holders = self.fleet.holders(part.shard()).iter();
        let latencies = holders.map(|server| self.latency(*server, query.class(), work));
        let best = latencies.fold(f64::INFINITY, f64::min);
        best.is_finite().then_some(best)
    }

    /// Returns by how much queries of this query's class take longer than forecast on average.
    pub(crate) fn expected_error(&self, query: &InFlightQuery) -> Ms {
        self.classes[query.class()].forecast_error()
    }
}
