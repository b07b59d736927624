//! Public interface of the policy: the settings it starts with, the events it takes and the actions it
//! returns.
//!
//! The types here carry no decisions. All times are milliseconds on the caller's clock.

use std::sync::Arc;

/// A point in time on the caller's clock, or a duration, in milliseconds.
pub type Ms = f64;

/// Name of a data server. It is the same at every aggregator and survives restarts of the server's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub Arc<str>);

/// Identifier of a query, never used twice. Queries that wait at the same time are processed in its order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueryId(pub Arc<str>);

/// Identifier of one part of a query, never used twice.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartId(pub Arc<str>);

/// Index of a query class in [`Settings::classes`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassIndex(pub usize);

/// Index of a tenant in [`Settings::tenants`]. Any index is accepted where a deployment has no tenants.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantIndex(pub usize);

/// Whether a part may safely be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetrySafety {
    /// Repeated execution has no further effect.
    Idempotent,
    /// Servers deduplicate repeats by an idempotency key.
    IdempotencyKey {
        /// Time after the first attempt that may have run during which repeats are deduplicated.
        window: Ms,
    },
    /// Every execution takes effect.
    NotIdempotent,
}

/// One class of queries.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this time earns the full weight.
    pub latency_objective: Ms,
    /// Time after which a client gives up, over all its attempts together.
    pub client_timeout: Ms,
    /// Weight that a complete answer in time earns.
    pub priority_weight: f64,
    /// Fraction of the weight that an answer after the latency objective still earns.
    pub late_weight: f64,
    /// Whether its parts may be executed more than once.
    pub retry_safety: RetrySafety,
    /// Share of the total part weight that makes an answer complete.
    pub required_share: f64,
    /// Smallest share of the total part weight from which an answer may be given.
    pub minimum_share: f64,
    /// A partial answer earns this fraction times its share divided by the required share.
    pub partial_weight: f64,
    /// Whether the first answer leads to a second step with further parts.
    pub has_second_step: bool,
}

/// One tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Queries per second, over all aggregators together, that are within its quota.
    pub quota_per_s: f64,
}

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
    /// Zone of this aggregator, where the deployment has zones. Servers name theirs in [`Endpoint::zone`].
    pub zone: Option<usize>,
    /// Fraction of its priority weight that a query over its tenant's quota keeps.
    pub over_quota_weight: f64,
    /// Whether the priority weight of a query is proportional to its cost.
    pub weight_by_work: bool,
    /// Whether clients mark their retries, see [`Query::is_retry`].
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

/// Whether a server accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ServingState {
    /// It accepts requests.
    Serving,
    /// It finishes the requests it has and accepts no others.
    Draining,
    /// It has been removed.
    Removed,
}

/// One server in the endpoint list.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The server.
    pub node: NodeId,
    /// Its cell.
    pub cell: usize,
    /// Its state.
    pub state: ServingState,
    /// Index of its zone, where the list names zones.
    pub zone: Option<usize>,
    /// When its process last started; `None` if long ago.
    pub started: Option<Ms>,
}

/// Kind of an endpoint list update.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Changed entries only.
    Delta,
    /// The complete current list.
    Snapshot,
    /// The complete list as last written to disk, possibly out of date.
    Cached,
    /// A poll failed or the subscription broke; there are no entries.
    Failed,
}

/// A query on arrival. Its parts follow in the same batch.
#[derive(Clone, Debug)]
pub struct Query {
    /// Its identifier.
    pub id: QueryId,
    /// Group number that it shares with its parts.
    pub group: u64,
    /// Its class.
    pub class: ClassIndex,
    /// Its tenant.
    pub tenant: TenantIndex,
    /// When the client gives up on this attempt.
    pub client_deadline: Ms,
    /// Whether the client marks it as a retry.
    pub is_retry: bool,
}

/// A part of a query.
#[derive(Clone, Debug)]
pub struct Part {
    /// Its identifier.
    pub id: PartId,
    /// Group number of its query.
    pub group: u64,
    /// Its shard.
    pub shard: usize,
    /// Its weight in the answer.
    pub weight: f64,
    /// Approximate cost, where the deployment provides hints.
    pub cost_hint: Option<Ms>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The server answered.
    Served,
    /// The server returned an error; the part may have run.
    Error,
    /// The server rejected the part for lack of capacity; the part never ran.
    Overloaded,
    /// There was no answer in time; the part may have run or may still run.
    TimedOut,
    /// No connection could be made; the part never ran.
    Unreachable,
    /// The connection broke; the part may have run.
    ConnectionLost,
    /// The aggregator cancelled the attempt; the part may have run.
    Cancelled,
    /// The attempt was never sent.
    NotSent,
}

/// Largest size of a gossip message in bytes.
pub const MAX_GOSSIP_BYTES: usize = 256;

/// An input of the policy.
#[derive(Clone, Debug)]
pub enum Event {
    /// The endpoint list was updated.
    EndpointList {
        /// What the entries are.
        update: ListUpdate,
        /// The entries.
        endpoints: Vec<Endpoint>,
    },
    /// A query has arrived.
    Query(Query),
    /// A part of a query has arrived.
    Part(Part),
    /// An attempt has ended.
    AttemptEnded {
        /// The part.
        part: PartId,
        /// Index of the attempt among those of its part, from 0.
        attempt: u32,
        /// How it ended.
        outcome: Outcome,
        /// Time since it was sent.
        elapsed: Ms,
        /// Number of requests that the server reported as waiting or in execution, if it did. The report may
        /// be late or wrong.
        load: Option<f64>,
    },
    /// The client has disconnected; the query needs no answer.
    ClientDisconnected(QueryId),
    /// Another aggregator has sent a gossip message.
    Gossip {
        /// Index of the sender, from 0.
        from: usize,
        /// The message.
        bytes: Vec<u8>,
    },
    /// The timer set by [`Action::SetTimer`] has fired.
    TimerFired,
}

/// An output of the policy. The caller carries out actions in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt for a part. Attempts for one server in one batch share calls.
    SendAttempt {
        /// The part.
        part: PartId,
        /// The server.
        node: NodeId,
        /// Longest wait for an answer; `None` waits until the client's deadline.
        timeout: Option<Ms>,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The part.
        part: PartId,
        /// Index of the attempt among those of its part.
        attempt: u32,
    },
    /// Answer the query from the parts that have been served.
    Answer {
        /// The query.
        query: QueryId,
        /// Whether the answer is complete.
        complete: bool,
    },
    /// End the query without an answer and state that a retry is safe.
    Reject {
        /// The query.
        query: QueryId,
        /// When the client should retry.
        retry_after: Option<Ms>,
    },
    /// End the query without an answer and without a statement on retries.
    Fail {
        /// The query.
        query: QueryId,
    },
    /// Send a gossip message of at most [`MAX_GOSSIP_BYTES`] bytes to all other aggregators.
    PublishLoad {
        /// The message.
        bytes: Vec<u8>,
    },
    /// Poll for changes of the endpoint list from now on.
    PollEndpointList,
    /// Send [`Event::TimerFired`] after this time.
    SetTimer {
        /// Delay from now.
        after: Ms,
    },
}
