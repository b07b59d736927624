//! Until when answers are useful, and how much time is left for a step of a query.
//!
//! [`TimeLimits`] derives these times from the settings and the estimates of the classes; it
//! has no state of its own.

use super::batch_context::BatchContext;
use super::class_estimates::ClassEstimates;
use crate::api::Ms;
use crate::queries::InFlightQuery;

/// Least fraction of its weight that a late answer must earn to be waited for, where this
/// aggregator is one of many.
const MIN_LATE_WEIGHT: f64 = 0.2;
/// Time reserved before a client's deadline for the reply, in ticks.
const REPLY_MARGIN_TICKS: f64 = 2.0;

/// Time limits of queries in one batch.
#[derive(Clone, Copy)]
pub(crate) struct TimeLimits<'a> {
    batch: &'a BatchContext<'a>,
    classes: &'a [ClassEstimates],
}

impl<'a> TimeLimits<'a> {
    /// Limits with this knowledge.
    pub(crate) fn new(batch: &'a BatchContext<'a>, classes: &'a [ClassEstimates]) -> Self {
        TimeLimits { batch, classes }
    }

    /// Time reserved for the reply to reach the client.
    pub(crate) fn reply_margin(&self) -> Ms {
        REPLY_MARGIN_TICKS * self.batch.settings.tick
    }

    /// Until when an answer still earns something.
    pub(crate) fn useful_until(&self, query: &InFlightQuery) -> Ms {
        let class = self.batch.class_of(query);
        let mut end = query.client_deadline();
        if class.late_weight <= MIN_LATE_WEIGHT * (1.0 - self.batch.load_visibility()) {
            end = end.min(self.batch.objective_end(query));
        }
        end - self.reply_margin()
    }

    /// Time to reserve for a second step that is still to come.
    pub(crate) fn second_step_reserve(&self, query: &InFlightQuery) -> Ms {
        let class = self.batch.class_of(query);
        if class.has_second_step && !query.in_second_step() {
            self.classes[query.class()].second_step_duration()
        } else {
            0.0
        }
    }

    /// Time within the latency objective that is left for the current step.
    pub(crate) fn step_objective(&self, query: &InFlightQuery) -> Ms {
        let time_left = self.batch.objective(query) - query.first_step_duration();
        let tick = self.batch.settings.tick;
        (time_left - self.second_step_reserve(query)).max(tick)
    }

    /// Longest wait for the answer to an attempt that is sent now; `None` to wait until the
    /// client's deadline.
    pub(crate) fn attempt_timeout(&self, query: &InFlightQuery) -> Option<Ms> {
        let end = self.useful_until(query).min(query.client_deadline());
        let wait = (end - self.batch.now).max(self.batch.settings.tick);
        (end < query.client_deadline()).then_some(wait)
    }
}
