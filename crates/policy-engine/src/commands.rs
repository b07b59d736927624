//! The values that go into the engine and the decisions that come out of it.

use broker_types::query::{AttemptId, ClassIndex, PartSpec, QueryId, TenantIndex};
use broker_types::server::{NodeId, Outcome};
use broker_types::time::Timestamp;
use std::time::Duration;

/// A query to be fanned out to the servers of its shards.
#[derive(Clone, Debug)]
pub struct QuerySpec {
    /// Number of the query.
    pub id: QueryId,
    /// Class of the query.
    pub class: ClassIndex,
    /// Tenant of the query.
    pub tenant: TenantIndex,
    /// Time at which the client stops waiting.
    pub deadline: Timestamp,
    /// Whether the client marked the query as a retry.
    pub is_retry: bool,
    /// The parts of the query, one for each shard.
    pub parts: Vec<PartSpec>,
}

/// The end of an attempt.
#[derive(Clone, Debug)]
pub struct AttemptReport {
    /// The attempt that ended.
    pub attempt: AttemptId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from the dispatch to the end of the attempt.
    pub elapsed: Duration,
    /// Outstanding work that the server reported with its answer, if it did.
    pub load: Option<f64>,
}

/// An attempt to send to a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The attempt to send.
    pub attempt: AttemptId,
    /// The server to send it to.
    pub server: NodeId,
    /// Time at which the attempt times out.
    pub deadline: Timestamp,
}

/// How a query ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QueryOutcome {
    /// The query is answered from the parts that were served.
    Answered {
        /// Whether enough parts were served for a complete answer.
        is_complete: bool,
    },
    /// The query was not served and had no effect, so that the client may retry.
    Rejected {
        /// Time after which the client should retry, where clients take such advice.
        retry_after: Option<Duration>,
    },
    /// The query was not served; whether it had an effect is unknown.
    Failed,
}

/// The one final outcome of a query.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedQuery {
    /// The query that ended.
    pub query: QueryId,
    /// How the query ended.
    pub outcome: QueryOutcome,
}

/// What the caller has to carry out, in the order of the fields: cancel, finish, dispatch.
#[derive(Debug, Default, PartialEq)]
pub struct Decisions {
    /// Attempts to cancel. The engine still expects an [`AttemptReport`] for each.
    pub cancellations: Vec<AttemptId>,
    /// Queries to answer now.
    pub finished: Vec<FinishedQuery>,
    /// Attempts to send.
    pub dispatches: Vec<Dispatch>,
    /// Number of queries among `finished` that were rejected because the capacity was exhausted.
    pub over_capacity: usize,
    /// Number of queries among `finished` that failed because the policy had not decided before
    /// their deadline.
    pub expired: usize,
}
