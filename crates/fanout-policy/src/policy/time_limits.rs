//! Time limits of a query: until when an answer to it is useful, and how much time is left for
//! its current step.
//!
//! [`TimeLimits`] derives the limits from the settings and the estimates of the query classes. It
//! has no state of its own.

use super::batch_context::BatchContext;
use super::class_estimates::ClassEstimates;
use crate::api::Ms;
use crate::queries::InFlightQuery;

/// Late weight of a class up to which its queries are given up at the end of their latency
/// objective. Otherwise overloaded servers would spend much of their time on late answers of little
/// weight. The value is multiplied by the share of the servers' load that the aggregator does not
/// observe. An aggregator that observes all of the load thus gives up queries at the end of their
/// objective only if the late weight of their class is 0.
const MIN_LATE_WEIGHT: f64 = 0.2;
/// Time reserved before a client's deadline, in ticks. It covers the transmission of the reply to
/// the client and the batch in which the end of an attempt is processed.
const REPLY_MARGIN_TICKS: f64 = 2.0;

/// Time limits of queries in one batch.
#[derive(Clone, Copy)]
pub(crate) struct TimeLimits<'a> {
    batch: &'a BatchContext<'a>,
    classes: &'a [ClassEstimates],
}

impl<'a> TimeLimits<'a> {
    /// Creates the time limits for the current batch from the estimates of all classes.
    pub(crate) fn new(batch: &'a BatchContext<'a>, classes: &'a [ClassEstimates]) -> Self {
        TimeLimits { batch, classes }
    }

    /// Returns the time reserved for the reply to reach the client.
    pub(crate) fn reply_margin(&self) -> Ms {
        REPLY_MARGIN_TICKS * self.batch.settings.tick
    }

    /// Returns the time until which an answer to a query is useful. This is the client's
    /// deadline, or the end of the latency objective if late answers of the class have too
    /// little weight to be waited for, in both cases less the margin for the reply.
    pub(crate) fn useful_until(&self, query: &InFlightQuery) -> Ms {
        let class = self.batch.class_of(query);
        let mut end = query.client_deadline();
        if class.late_weight <= MIN_LATE_WEIGHT * (1.0 - self.batch.load_visibility()) {
            end = end.min(self.batch.objective_end(query));
        }
        end - self.reply_margin()
    }

    /// Returns the time to reserve for the second step of a query; 0 if none follows the current
    /// step.
    pub(crate) fn second_step_reserve(&self, query: &InFlightQuery) -> Ms {
        let class = self.batch.class_of(query);
        if class.has_second_step && !query.in_second_step() {
            self.classes[query.class()].second_step_duration()
        } else {
            0.0
        }
    }

    /// Returns the part of the latency objective that the current step may take: the objective
    /// less the duration of the first step if that is over, or less the reserve for the second
    /// step if one follows. At least one tick.
    pub(crate) fn step_objective(&self, query: &InFlightQuery) -> Ms {
        let time_left = self.batch.objective(query) - query.first_step_duration();
        let tick = self.batch.settings.tick;
        (time_left - self.second_step_reserve(query)).max(tick)
    }

    /// Returns the timeout of an attempt that is sent now: the time for which an answer to the
    /// query stays useful, and at least one tick. `None` if answers stay useful up to the
    /// client's deadline, so that no earlier timeout is needed. Since [`TimeLimits::useful_until`]
    /// subtracts the margin for the reply, this requires that the margin is 0 or that the deadline
    /// is infinite.
    pub(crate) fn attempt_timeout(&self, query: &InFlightQuery) -> Option<Ms> {
        let end = self.useful_until(query).min(query.client_deadline());
        let wait = (end - self.batch.now).max(self.batch.settings.tick);
        (end < query.client_deadline()).then_some(wait)
    }
}
