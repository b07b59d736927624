//! Limit on retries and hedged requests, so that they cannot amplify an overload.
//!
//! [`RetryBudget`] owns the times at which queries and parts were accepted, and the times at which
//! retries and hedged requests were sent.

use super::batch_context::BatchContext;
use crate::api::{Ms, RetryBudget as BudgetSettings};
use crate::statistics::SlidingWindow;

/// Number of retries and hedged requests that a window allows regardless of the number of accepted
/// requests, if the settings have no retry budget.
const DEFAULT_FREE_ATTEMPTS: f64 = 6.0;
/// Number of further retries and hedged requests that a window allows per query or part accepted in
/// it, if the settings have no retry budget.
const DEFAULT_ATTEMPTS_PER_REQUEST: f64 = 0.3;
/// Length of the window if the settings have no retry budget, in multiples of the shortest latency
/// objective.
const DEFAULT_WINDOW_OBJECTIVES: f64 = 1.5;
/// Lower limit of the number of hedged requests that a window allows per query or part accepted in
/// it, if the settings have no retry budget. Down to this limit, the number is smaller the
/// more aggregators there are, see [`RetryBudget::try_acquire_hedge`].
const MIN_HEDGES_PER_REQUEST: f64 = 0.1;

/// Permission to send one retry or hedged request. It counts against the budget only when it is
/// given to [`RetryBudget::record_sent`].
#[must_use]
pub(crate) struct RetryPermit(());

/// Requests accepted, and retries and hedged requests sent, in the sliding window of the budget.
#[derive(Default)]
pub(crate) struct RetryBudget {
    /// Arrival times of queries and parts.
    accepted: SlidingWindow,
    /// Send times of retries and hedged requests.
    sent: SlidingWindow,
}

impl RetryBudget {
    /// Records a query or a part as accepted. This happens on its arrival, so a query that
    /// admission control rejects afterwards counts too, and so do its parts.
    pub(crate) fn record_accepted(&mut self, now: Ms) {
        self.accepted.record(now);
    }

    /// Returns a permission for one more retry, or `None` if the budget is used up. Discards the
    /// records from before the window.
    pub(crate) fn try_acquire_retry(&mut self, batch: &BatchContext) -> Option<RetryPermit> {
        self.try_acquire(batch, &budget(batch, 1.0))
    }

    /// Returns a permission for one more hedged request, or `None` if the budget is used up.
    /// Discards the records from before the window.
    ///
    /// Without a budget in the settings, the default for hedged requests is smaller the more
    /// aggregators there are, down to 0.1 per request, which covers the slowest tenth of parts.
    /// The hedged requests of many aggregators add up, and one aggregator observes only a small
    /// share of the load of the servers to which it sends them.
    pub(crate) fn try_acquire_hedge(&mut self, batch: &BatchContext) -> Option<RetryPermit> {
        self.try_acquire(batch, &budget(batch, batch.load_visibility()))
    }

    /// Records a retry or hedged request that is sent, which uses up its permission.
    pub(crate) fn record_sent(&mut self, now: Ms, _permit: RetryPermit) {
        self.sent.record(now);
    }

    /// Discards the records from before the window. The settings do not say whether the two ends
    /// of the window belong to it. Accepted requests therefore leave the window one tick early,
    /// and retries and hedged requests one tick late, so that the budget is kept in both cases.
    pub(crate) fn discard_expired(&mut self, batch: &BatchContext) {
        let window_start = batch.now - budget(batch, 1.0).window;
        self.accepted
            .discard_before(window_start + batch.settings.tick);
        self.sent.discard_before(window_start - batch.settings.tick);
    }

    /// Returns an estimate of the mean time between two sends of this aggregator to one server, in
    /// ms. It assumes that the queries and parts accepted within the length of the default window
    /// ([`DEFAULT_WINDOW_OBJECTIVES`]) are spread evenly over `servers` servers. This length
    /// applies even if the settings have a budget with another window. If that window is shorter,
    /// requests from before it may have been discarded, and then do not count.
    pub(crate) fn mean_send_interval(&self, batch: &BatchContext, servers: usize) -> Ms {
        let window = DEFAULT_WINDOW_OBJECTIVES * batch.shortest_objective();
        let accepted = self.accepted.count_since(batch.now - window);
        window * servers as f64 / accepted.max(1) as f64
    }

    /// Returns a permission if one more retry or hedged request is within the given budget.
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

/// Returns the budget of the settings, or else the default budget. The numbers of attempts that the
/// default allows are multiplied by `default_share`, but the number per accepted request does not
/// fall below [`MIN_HEDGES_PER_REQUEST`]. The window of the default is not multiplied.
fn budget(batch: &BatchContext, default_share: f64) -> BudgetSettings {
    batch.settings.retry_budget.unwrap_or(BudgetSettings {
        free_attempts: DEFAULT_FREE_ATTEMPTS * default_share,
        per_request: (DEFAULT_ATTEMPTS_PER_REQUEST * default_share).max(MIN_HEDGES_PER_REQUEST),
        window: DEFAULT_WINDOW_OBJECTIVES * batch.shortest_objective(),
    })
}
