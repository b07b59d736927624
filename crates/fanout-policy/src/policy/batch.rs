//! Progress of a query in one batch, and when the next batch is due.

use super::tuning::{FORECAST_ERROR_SMOOTHING, IDLE_TICKS, PAUSE};
use crate::aggregator::Aggregator;
use crate::api::{Ms, QueryId};
use crate::state::{InFlightQuery, decay};

impl Aggregator {
    /// Whether a batch at `now` comes so late that this aggregator itself must have been paused.
    pub(crate) fn is_late_batch(&self, now: Ms) -> bool {
        now > self.timer_at + PAUSE * self.shortest_objective()
    }

    /// Time until the next batch if no event arrives before.
    pub(crate) fn batch_interval(&self) -> Ms {
        let ticks = if self.queries.is_empty() {
            IDLE_TICKS
        } else {
            1.0
        };
        ticks * self.settings.tick.max(1.0)
    }

    /// Advances a query. Returns whether it has ended.
    pub(crate) fn advance_query(&mut self, id: &QueryId, query: &mut InFlightQuery) -> bool {
        if self.try_complete(id, query) {
            return true;
        }
        if !query.is_planned && query.step_start < query.parts.len() {
            query.is_planned = true;
            if !query.in_second_step() && !self.admit(query) {
                // Rejected queries give no samples: without decay, one bad period would count for ever.
                decay(
                    &mut self.classes[query.class].forecast_error,
                    FORECAST_ERROR_SMOOTHING / 2.0,
                );
                query.forecast = 0.0;
                return self.end_without_answer(id, query);
            }
            self.assign_rows(query);
            self.defer_spare_parts(query);
        }
        for index in query.step_start..query.parts.len() {
            self.advance_part(query, index);
        }
        false
    }
}
