//! Progress of a query in one batch.

use super::tuning::FORECAST_ERROR_SMOOTHING;
use crate::aggregator::Aggregator;
use crate::api::QueryId;
use crate::state::{InFlightQuery, decay};

impl Aggregator {
    /// Advances a query. Returns whether it has ended.
    pub(crate) fn advance_query(&mut self, id: &QueryId, query: &mut InFlightQuery) -> bool {
        if self.try_complete(id, query) {
            return true;
        }
        if !query.is_planned && query.step_start < query.parts.len() {
            query.is_planned = true;
            if !query.in_second_step() && !self.admit(query) {
                // Rejected queries give no samples: without decay, one bad
                // period would count for ever.
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
