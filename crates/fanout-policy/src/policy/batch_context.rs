//! The current time and the settings, which every decision of a batch may depend on.

use crate::api::{Class, Ms, Settings};
use crate::queries::InFlightQuery;

/// Number of aggregators up to which the load visibility is 1. With so few aggregators, each one
/// observes most of a server's load through the answers to its own attempts, and is treated as if
/// it observed all of it.
const FULL_VISIBILITY_AGGREGATORS: f64 = 4.0;
/// Upper bound of the shortest latency objective, which keeps it finite where the settings have
/// no classes, in ms.
const MAX_SHORTEST_OBJECTIVE_MS: Ms = 1e9;

/// The time of the current batch and the settings of the aggregator.
#[derive(Clone, Copy)]
pub(crate) struct BatchContext<'a> {
    /// Time of the batch.
    pub(crate) now: Ms,
    /// Settings of the aggregator.
    pub(crate) settings: &'a Settings,
}

impl<'a> BatchContext<'a> {
    /// Creates the context of the batch that is processed at the time `now`.
    pub(crate) fn new(now: Ms, settings: &'a Settings) -> Self {
        BatchContext { now, settings }
    }

    /// Returns the class of a query in flight.
    pub(crate) fn class_of(&self, query: &InFlightQuery) -> &'a Class {
        &self.settings.classes[query.class()]
    }

    /// Returns the latency objective of a query's class.
    pub(crate) fn objective(&self, query: &InFlightQuery) -> Ms {
        self.class_of(query).latency_objective
    }

    /// Returns the time at which the latency objective of a query ends, counted from when its
    /// client first sent it.
    pub(crate) fn objective_end(&self, query: &InFlightQuery) -> Ms {
        query.first_sent_at() + self.objective(query)
    }

    /// Returns the shortest latency objective of all classes, or [`MAX_SHORTEST_OBJECTIVE_MS`]
    /// if the settings have no classes.
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

    /// Returns the share of a server's load, from 0 to 1, that this aggregator is assumed to
    /// observe through the answers to its own attempts. The more aggregators share the fleet,
    /// the smaller the share.
    pub(crate) fn load_visibility(&self) -> f64 {
        (FULL_VISIBILITY_AGGREGATORS / self.settings.aggregators.max(1) as f64).min(1.0)
    }
}
