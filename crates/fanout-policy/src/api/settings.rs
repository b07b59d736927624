//! Settings of an aggregator, fixed at its start.

use super::{Class, Ms, Tenant};

/// How the endpoint list reaches the aggregator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListSource {
    /// Updates arrive without a request of the aggregator.
    Pushed,
    /// Updates arrive only after the aggregator has polled for them.
    Polled,
}

/// Limit on retries and hedged requests, that is, on attempts beyond the first of each part.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Number of retries and hedged requests that are allowed in any window.
    pub free_attempts: f64,
    /// Number of further retries and hedged requests that are allowed for each query and each part
    /// accepted in the window.
    pub per_request: f64,
    /// Length of the sliding window.
    pub window: Ms,
}

/// How servers behave after a start, while they warm up.
#[derive(Clone, Copy, Debug)]
pub struct WarmUp {
    /// Minimum share of its full capacity that a server has when it starts.
    pub initial_capacity: f64,
    /// Time from its start after which a server has its full capacity.
    pub duration: Ms,
    /// Multiple of its current capacity above which a warming server is overloaded. It fails if it
    /// receives more work than that for [`overload_window`](WarmUp::overload_window).
    pub overload_factor: f64,
    /// Length of the overload after which a warming server fails, see
    /// [`overload_factor`](WarmUp::overload_factor).
    pub overload_window: Ms,
}

/// Settings of one aggregator, fixed at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Query classes, by class index.
    pub classes: Vec<Class>,
    /// Tenants, by tenant index; may be empty.
    pub tenants: Vec<Tenant>,
    /// Number of aggregators, including this one.
    pub aggregators: usize,
    /// Index of this aggregator's zone; `None` if the deployment has no zones. The zones of the
    /// servers are in [`Endpoint::zone`](super::Endpoint::zone).
    pub zone: Option<usize>,
    /// Factor on the priority weight of queries whose tenant exceeds its quota.
    pub over_quota_weight: f64,
    /// Whether the priority weight of a query is proportional to its work. Otherwise all queries of
    /// a class have the same weight.
    pub weight_by_work: bool,
    /// Whether clients mark their retries, see [`Query::is_retry`](super::Query::is_retry).
    pub marks_retries: bool,
    /// Number of cells. Shard `s` is held by the cells `(s + j) % cells` for `j < replica_cells`.
    pub cells: usize,
    /// Number of adjacent cells that hold each shard. It is 1 where the servers form sets: all
    /// servers of a cell hold the same shards, and each shard is held in one cell only. It is
    /// greater where the servers form a ring: each server has a cell of its own, and a shard is
    /// held by its home cell and the next ones.
    pub replica_cells: usize,
    /// Number of shards.
    pub shards: usize,
    /// Maximum number of parts in one call to a server.
    pub max_parts_per_call: usize,
    /// Work of a call at its server, in addition to the work of its parts.
    pub call_cost: Ms,
    /// Maximum number of attempts for one part.
    pub max_attempts: u32,
    /// Whether a part may have two attempts in flight at the same time (request hedging).
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Maximum retry-after value that clients respect. `None` if retry-after values do not reach
    /// the clients or the deployment sets no maximum; rejections then have no retry-after value.
    pub max_retry_after: Option<Ms>,
    /// Whether aggregators may exchange gossip messages.
    pub gossip: bool,
    /// Minimum time between two batches.
    pub tick: Ms,
    /// How the endpoint list reaches the aggregator.
    pub list_source: EndpointListSource,
    /// Time within which the aggregator has to poll the endpoint list again; infinite if the
    /// deployment sets none. If an aggregator has not polled for this time, the deployment's rules
    /// treat it as informed of each change that has been in the list for this time. After a failed
    /// poll, four times this time applies instead. The grace period of a server that starts to
    /// drain counts from the time at which the rules treat the aggregator as informed of this
    /// change. The policy derives the delays after failed polls from this setting.
    pub list_poll_deadline: Ms,
    /// Limit on retries and hedged requests; `None` if the deployment sets none, so that the policy
    /// uses its default budget.
    pub retry_budget: Option<RetryBudget>,
    /// How servers behave after a start, while they warm up.
    pub warm_up: WarmUp,
}
