//! What every decision of one batch may depend on: the time and the settings.

use crate::api::{Class, Ms, Settings};
use crate::queries::InFlightQuery;

/// Aggregators up to which each observes most of a server's load in its own answers.
const FULL_VISIBILITY_AGGREGATORS: f64 = 4.0;
/// Upper bound of the shortest latency objective, so that it is finite without classes, in ms.
const MAX_SHORTEST_OBJECTIVE_MS: Ms = 1e9;

/// Time and settings of the current batch.
#[derive(Clone, Copy)]
pub(crate) struct BatchContext<'a> {
    /// Time of the batch.
    pub(crate) now: Ms,
    /// Settings of the aggregator.
    pub(crate) settings: &'a Settings,
}

impl<'a> BatchContext<'a> {
    /// The batch at this time.
    pub(crate) fn new(now: Ms, settings: &'a Settings) -> Self {
        BatchContext { now, settings }
    }

    /// Class of a query in flight.
    pub(crate) fn class_of(&self, query: &InFlightQuery) -> &'a Class {
        &self.settings.classes[query.class()]
    }

    /// Latency objective of the class of a query.
    pub(crate) fn objective(&self, query: &InFlightQuery) -> Ms {
        self.class_of(query).latency_objective
    }

    /// When the latency objective of a query ends.
    pub(crate) fn objective_end(&self, query: &InFlightQuery) -> Ms {
        query.first_sent_at() + self.objective(query)
    }

    /// Shortest latency objective of all classes; a large finite time if there are none.
    pub(crate) fn shortest_objective(&self) -> Ms {
        let objectives = self
            .settings
            .classes
            .iter()
            .map(|class| class.latency_objective);
        objectives
            .fold(f64::INFINITY, f64::min)
            .min(MAX_SHORTEST_OBJECTIVE_MS)
    }

    /// Share of a server's load that this aggregator observes in its own answers: among
    /// many aggregators, very little.
    pub(crate) fn load_visibility(&self) -> f64 {
        (FULL_VISIBILITY_AGGREGATORS / self.settings.aggregators.max(1) as f64).min(1.0)
    }
}
