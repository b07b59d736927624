//! Decides how a query ends without an answer: whether its client may safely retry, and after
//! what time.
//!
//! [`RetryAfter`] derives both from the state of the query. It has no state of its own.

use super::batch_context::BatchContext;
use super::retry_policy::RetryPolicy;
use crate::api::{Ms, RetrySafety, Settings};
use crate::queries::{Attempt, InFlightQuery};

/// Retry-after value as a share of the time left in the latency objective. It must be long enough
/// for the queues of servers to shrink, and short enough for the retry to be answered in time.
const TIME_LEFT_SHARE: f64 = 0.3;
/// Minimum time left for a retry to be answered within the objective, in latency objectives.
const MIN_TIME_LEFT_OBJECTIVES: f64 = 0.1;
/// A client is assumed to send its retry within this multiple of the retry-after value, since
/// clients may retry later than advised.
const RETRY_DELAY_FACTOR: f64 = 2.0;

/// Returns the retry-after value for a query that the caller rejects for lack of capacity without
/// passing it to the policy. `class` is the index of the query's class in the settings; for an
/// unknown class the value is [`Settings::max_retry_after`]. Returns `None` if the settings have no
/// such maximum.
#[must_use]
pub fn over_capacity_retry_after(settings: &Settings, class: usize) -> Option<Ms> {
    let class = settings.classes.get(class);
    let objective = class.map_or(f64::INFINITY, |class| class.latency_objective);
    let retry_after = TIME_LEFT_SHARE * objective;
    settings.max_retry_after.map(|max| max.min(retry_after))
}

/// Response to a query that ends without an answer.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum EndWithoutAnswer {
    /// The query is rejected, and its client may retry.
    Reject {
        /// Time after which the client should retry; `None` if the settings have no
        /// [`Settings::max_retry_after`].
        retry_after: Option<Ms>,
    },
    /// The query fails, and its client should not retry: a part may have run already, and
    /// running it again might not be safe.
    Fail,
}

/// Decides how queries without an answer end in one batch.
#[derive(Clone, Copy)]
pub(crate) struct RetryAfter<'a> {
    batch: &'a BatchContext<'a>,
    retries: RetryPolicy<'a>,
}

impl<'a> RetryAfter<'a> {
    /// Creates the rules for the current batch.
    pub(crate) fn new(batch: &'a BatchContext<'a>, retries: RetryPolicy<'a>) -> Self {
        RetryAfter { batch, retries }
    }

    /// Decides to reject a query if a retry of it is safe, and to fail it otherwise.
    pub(crate) fn decide(&self, query: &InFlightQuery) -> EndWithoutAnswer {
        let retry_after = self.retry_after(query);
        if self.is_retry_safe(query, retry_after) {
            EndWithoutAnswer::Reject { retry_after }
        } else {
            EndWithoutAnswer::Fail
        }
    }

    /// Returns the retry-after value for a query that ends now. It is the maximum that clients
    /// respect if a retry could not be answered within the latency objective any more, or if the
    /// query is a poison query. `None` if the settings have no such maximum.
    fn retry_after(&self, query: &InFlightQuery) -> Option<Ms> {
        let min_time_left = MIN_TIME_LEFT_OBJECTIVES * self.batch.objective(query);
        let time_left = self.batch.objective_end(query) - self.batch.now;
        let may_retry_soon = time_left > min_time_left && !self.retries.is_poison_query(query);
        let retry_after = if may_retry_soon {
            TIME_LEFT_SHARE * time_left
        } else {
            f64::INFINITY
        };
        let max_retry_after = self.batch.settings.max_retry_after;
        max_retry_after.map(|max| max.min(retry_after))
    }

    /// Returns whether it is safe for the client to repeat the query. In an idempotent class it
    /// always is. In other classes it is safe if no attempt of the query may have run. With
    /// idempotency keys it is also safe if the retry is expected before the end of the replay
    /// window of the earliest attempt that may have run: until then servers recognize repeats and
    /// do not execute them.
    fn is_retry_safe(&self, query: &InFlightQuery, retry_after: Option<Ms>) -> bool {
        let delay = RETRY_DELAY_FACTOR * retry_after.unwrap_or(f64::INFINITY);
        let retried_by = self.batch.now + delay;
        let retry_safety = self.batch.class_of(query).retry_safety;
        let is_repeat_safe = |attempt: &Attempt| match retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::IdempotencyKey { window } => retried_by < attempt.sent_at() + window,
            RetrySafety::NotIdempotent => false,
        };
        let mut possible_runs = query.attempts().filter(|attempt| attempt.may_have_run());
        possible_runs.all(is_repeat_safe)
    }
}
