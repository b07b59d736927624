//! Retry-after values, and whether a client may retry safely.
//!
//! [`RetryAfter`] derives both from the state of a query that ends without an answer; it owns
//! nothing.

use super::batch_context::BatchContext;
use super::retry_policy::RetryPolicy;
use crate::api::{Ms, RetrySafety, Settings};
use crate::queries::{Attempt, InFlightQuery};

/// Retry-after as a share of the time left: long enough for queues to shrink, short enough to
/// be in time.
const TIME_LEFT_SHARE: f64 = 0.3;
/// Least time left for a retry to be in time, in latency objectives.
const MIN_TIME_LEFT_OBJECTIVES: f64 = 0.1;
/// A retry is assumed to arrive within this multiple of the retry-after.
const RETRY_DELAY_FACTOR: f64 = 2.0;

/// Retry-after for a query that is rejected before the policy sees it, for lack of capacity.
#[must_use]
pub fn over_capacity_retry_after(settings: &Settings, class: usize) -> Option<Ms> {
    let class = settings.classes.get(class);
    let objective = class.map_or(f64::INFINITY, |class| class.latency_objective);
    let useful = TIME_LEFT_SHARE * objective;
    settings.max_retry_after.map(|max| max.min(useful))
}

/// How a query ends without an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum EndWithoutAnswer {
    /// Rejected: the client may retry.
    Reject {
        /// When the client should retry.
        retry_after: Option<Ms>,
    },
    /// Failed: parts may have run, and a retry could run them again to some effect.
    Fail,
}

/// Decides what to tell the client of a query that ends without an answer.
#[derive(Clone, Copy)]
pub(crate) struct RetryAfter<'a> {
    batch: &'a BatchContext<'a>,
    retries: RetryPolicy<'a>,
}

impl<'a> RetryAfter<'a> {
    /// A decision with this knowledge.
    pub(crate) fn new(batch: &'a BatchContext<'a>, retries: RetryPolicy<'a>) -> Self {
        RetryAfter { batch, retries }
    }

    /// Rejects a query where a retry is safe, and fails it otherwise.
    pub(crate) fn decide(&self, query: &InFlightQuery) -> EndWithoutAnswer {
        let retry_after = self.retry_after(query);
        if self.is_retry_safe(query, retry_after) {
            EndWithoutAnswer::Reject { retry_after }
        } else {
            EndWithoutAnswer::Fail
        }
    }

    /// Retry-after for a query that ends now; the longest that clients respect if no retry
    /// would be in time.
    fn retry_after(&self, query: &InFlightQuery) -> Option<Ms> {
        let min_time_left = MIN_TIME_LEFT_OBJECTIVES * self.batch.objective(query);
        let time_left = self.batch.objective_end(query) - self.batch.now;
        let is_in_time = time_left > min_time_left && !self.retries.is_poison_query(query);
        let useful = if is_in_time {
            TIME_LEFT_SHARE * time_left
        } else {
            f64::INFINITY
        };
        let max_retry_after = self.batch.settings.max_retry_after;
        max_retry_after.map(|max| max.min(useful))
    }

    /// Whether the client may repeat the query. With an idempotency key this holds until
    /// the window of any attempt that may have run ends; clients may retry later than
    /// advised.
    fn is_retry_safe(&self, query: &InFlightQuery, retry_after: Option<Ms>) -> bool {
        let delay = RETRY_DELAY_FACTOR * retry_after.unwrap_or(f64::INFINITY);
        let retried_by = self.batch.now + delay;
        let retry_safety = self.batch.class_of(query).retry_safety;
        let is_harmless = |attempt: &Attempt| match retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::IdempotencyKey { window } => retried_by < attempt.sent_at() + window,
            RetrySafety::NotIdempotent => false,
        };
        let mut possible_runs = query.attempts().filter(|attempt| attempt.may_have_run());
        possible_runs.all(is_harmless)
    }
}
