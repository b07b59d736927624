//! Settings of an aggregator, fixed at its start.

use super::{Class, Ms, Tenant};

/// How the endpoint list reaches the aggregator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListSource {
    /// Updates arrive without a request.
    Pushed,
    /// Updates arrive only after the aggregator has polled for them.
    Polled,
}

/// Limit on attempts beyond the first of each part.
#[derive(Clone, Copy, Debug)]
pub struct RetryBudget {
    /// Attempts that are free in any window.
    pub free_attempts: f64,
    /// Further attempts per query or part accepted in the window.
    pub per_request: f64,
    /// Length of the sliding window.
    pub window: Ms,
}

/// Behaviour of servers that have just started.
#[derive(Clone, Copy, Debug)]
pub struct WarmUp {
    /// Least share of its full capacity that a server has when it starts.
    pub initial_capacity: f64,
    /// Time after its start by which a server has warmed up.
    pub duration: Ms,
    /// A server fails when it receives more than this multiple of its current capacity ...
    pub overload_factor: f64,
    /// ... for this long.
    pub overload_window: Ms,
}

/// Settings of one aggregator, fixed at its start.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Query classes.
    pub classes: Vec<Class>,
    /// Tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Number of aggregators, including this one.
    pub aggregators: usize,
    /// Zone of this aggregator, where the deployment has zones. Servers name theirs in
    /// [`Endpoint::zone`](super::Endpoint::zone).
    pub zone: Option<usize>,
    /// Fraction of its priority weight that a query over its tenant's quota keeps.
    pub over_quota_weight: f64,
    /// Whether the priority weight of a query is proportional to its cost.
    pub weight_by_work: bool,
    /// Whether clients mark their retries, see [`Query::is_retry`](super::Query::is_retry).
    pub marks_retries: bool,
    /// Number of cells. Shard `s` is held by the cells `(s + j) % cells` for `j < replica_cells`.
    pub cells: usize,
    /// Number of adjacent cells that hold a shard; 1 where the servers form sets.
    pub replica_cells: usize,
    /// Number of shards.
    pub shards: usize,
    /// Largest number of parts in one call to a server.
    pub max_parts_per_call: usize,
    /// Cost of a call to its server in addition to the cost of its parts.
    pub call_cost: Ms,
    /// Largest number of attempts for one part.
    pub max_attempts: u32,
    /// Whether a part may have two attempts in flight at once (request hedging).
    pub hedging: bool,
    /// Whether attempts may be cancelled.
    pub cancellation: bool,
    /// Largest retry-after value that clients respect; `None` where it does not reach them.
    pub max_retry_after: Option<Ms>,
    /// Whether aggregators may exchange gossip messages.
    pub gossip: bool,
    /// Least time between two batches.
    pub tick: Ms,
    /// How the endpoint list arrives.
    pub list_source: EndpointListSource,
    /// Time after which an aggregator that polls counts as informed of a change.
    pub list_poll_deadline: Ms,
    /// Limit on further attempts, where one is prescribed.
    pub retry_budget: Option<RetryBudget>,
    /// Behaviour of servers that have just started.
    pub warm_up: WarmUp,
}
