//! Retry-after values, and whether a client may retry safely.

use super::tuning::{RETRY_AFTER_SHARE, RETRY_DELAY_FACTOR, RETRY_MIN_TIME_LEFT};
use crate::aggregator::Aggregator;
use crate::api::{Ms, RetrySafety, Settings};
use crate::state::{Attempt, InFlightQuery};

/// Retry-after for a query that is rejected before the policy sees it, for lack of capacity.
#[must_use]
pub fn over_capacity_retry_after(settings: &Settings, class: usize) -> Option<Ms> {
    let class = settings.classes.get(class);
    let objective = class.map_or(f64::INFINITY, |class| class.latency_objective);
    let useful = RETRY_AFTER_SHARE * objective;
    settings.max_retry_after.map(|max| max.min(useful))
}

impl Aggregator {
    /// Retry-after for a query that ends now; the longest that clients respect if no retry
    /// would be in time.
    pub(crate) fn retry_after(&self, query: &InFlightQuery) -> Option<Ms> {
        let objective = self.objective(query);
        let time_left = self.objective_end(query) - self.now;
        let is_in_time =
            time_left > RETRY_MIN_TIME_LEFT * objective && !self.is_poison_query(query);
        let useful = RETRY_AFTER_SHARE * time_left;
        let useful = if is_in_time { useful } else { f64::INFINITY };
        self.settings.max_retry_after.map(|max| max.min(useful))
    }

    /// Whether the client may repeat the query. With an idempotency key this holds until
    /// the window of any attempt that may have run ends; clients may come back later than
    /// advised.
    pub(crate) fn is_retry_safe(&self, query: &InFlightQuery, retry_after: Option<Ms>) -> bool {
        let retried_by = self.now + RETRY_DELAY_FACTOR * retry_after.unwrap_or(f64::INFINITY);
        let retry_safety = self.class_of(query).retry_safety;
        let is_harmless = |attempt: &Attempt| match retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::IdempotencyKey { window } => retried_by < attempt.sent_at + window,
            RetrySafety::NotIdempotent => false,
        };
        let mut possible_runs = query.attempts().filter(|attempt| attempt.may_have_run());
        possible_runs.all(is_harmless)
    }
}
