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

/// Permission to send one retry or hedged request. It counts against the budget only once it is
/// used.
#[must_use]
pub(crate) struct RetryPermit(());

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

    /// Permission for one more retry, if the window allows it. Discards what lies before
    /// the window.
    pub(crate) fn try_acquire_retry(&mut self, batch: &BatchContext) -> Option<RetryPermit> {
        self.try_acquire(batch, &budget(batch, 1.0))
    }

    /// Permission for one more hedged request, if the window allows it. Discards what lies
    /// before the window. By default many aggregators hedge less, down to the slowest tenth
    /// of parts: their hedges add up and go to servers of whose load one aggregator knows
    /// little.
    pub(crate) fn try_acquire_hedge(&mut self, batch: &BatchContext) -> Option<RetryPermit> {
        self.try_acquire(batch, &budget(batch, batch.load_visibility()))
    }

    /// Counts an attempt that is sent with a permission.
    pub(crate) fn record_sent(&mut self, now: Ms, _permit: RetryPermit) {
        self.sent.record(now);
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

    fn try_acquire(
        &mut self,
        batch: &BatchContext,
        budget: &BudgetSettings,
    ) -> Option<RetryPermit> {
        self.discard_expired(batch);
        let allowed = budget.free_attempts + budget.per_request * self.accepted.len() as f64;
        let is_within_budget = (self.sent.len() + 1) as f64 <= allowed;
        is_within_budget.then_some(RetryPermit(()))
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
