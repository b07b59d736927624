//! Limit on retries and hedged requests, so that these cannot amplify an overload.
//!
//! [`RetryBudget`] owns the times at which queries and parts were accepted and further attempts
//! were sent.

use super::batch_context::BatchContext;
use crate::api::{Ms, RetryBudget as BudgetSettings};
use crate::statistics::SlidingWindow;

/// Free attempts in a window where the settings have no retry budget.
const DEFAULT_FREE_ATTEMPTS: f64 = 6.0;
/// Attempts per accepted query or part where the settings have no retry budget.
const DEFAULT_ATTEMPTS_PER_REQUEST: f64 = 0.3;
/// Window where the settings have no retry budget, in shortest latency objectives.
const DEFAULT_WINDOW_OBJECTIVES: f64 = 1.5;
/// Least number of hedged requests per accepted query or part among many aggregators.
const MIN_HEDGES_PER_REQUEST: f64 = 0.1;

/// Requests accepted and further attempts sent in the budget's sliding window.
#[derive(Default)]
pub(crate) struct RetryBudget {
    /// Queries and parts accepted.
    accepted: SlidingWindow,
    /// Retries and hedged requests sent.
    sent: SlidingWindow,
}

impl RetryBudget {
    /// Counts a query or a part that has arrived.
    pub(crate) fn record_accepted(&mut self, now: Ms) {
        self.accepted.record(now);
    }

    /// Counts a retry or a hedged request that is sent.
    pub(crate) fn record_sent(&mut self, now: Ms) {
        self.sent.record(now);
    }

    /// Discards what lies before the window, and returns whether one more retry is allowed.
    pub(crate) fn allows_retry(&mut self, batch: &BatchContext) -> bool {
        self.discard_expired(batch);
        self.is_within(&budget(batch, 1.0))
    }

    /// Discards what lies before the window, and returns whether one more hedged request is
    /// allowed. By default many aggregators hedge less, down to the slowest tenth of parts:
    /// their hedges add up and go to servers of whose load one aggregator knows little.
    pub(crate) fn allows_hedge(&mut self, batch: &BatchContext) -> bool {
        self.discard_expired(batch);
        self.is_within(&budget(batch, batch.load_visibility()))
    }

    /// Discards what lies before the window. The settings do not say whether the ends of
    /// the window belong to it: requests leave it a tick early and further attempts a tick
    /// late, so that the budget holds either way.
    pub(crate) fn discard_expired(&mut self, batch: &BatchContext) {
        let window_start = batch.now - budget(batch, 1.0).window;
        self.accepted
            .discard_before(window_start + batch.settings.tick);
        self.sent.discard_before(window_start - batch.settings.tick);
    }

    /// Mean time between two parts that this aggregator sends to one of so many servers,
    /// from what it accepted of late.
    pub(crate) fn mean_send_interval(&self, batch: &BatchContext, servers: usize) -> Ms {
        let window = DEFAULT_WINDOW_OBJECTIVES * batch.shortest_objective();
        let accepted = self.accepted.count_since(batch.now - window);
        window * servers as f64 / accepted.max(1) as f64
    }

    fn is_within(&self, budget: &BudgetSettings) -> bool {
        let allowed = budget.free_attempts + budget.per_request * self.accepted.len() as f64;
        (self.sent.len() + 1) as f64 <= allowed
    }
}

/// The budget of the settings, or the default reduced to this share.
fn budget(batch: &BatchContext, share: f64) -> BudgetSettings {
    batch.settings.retry_budget.unwrap_or(BudgetSettings {
        free_attempts: DEFAULT_FREE_ATTEMPTS * share,
        per_request: (DEFAULT_ATTEMPTS_PER_REQUEST * share).max(MIN_HEDGES_PER_REQUEST),
        window: DEFAULT_WINDOW_OBJECTIVES * batch.shortest_objective(),
    })
}
