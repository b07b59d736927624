//! The inputs of the engine, and the decisions that it returns.

use broker_types::query::{AttemptId, ClassIndex, PartSpec, QueryId, TenantIndex};
use broker_types::server::{NodeId, Outcome};
use broker_types::time::Timestamp;
use std::time::Duration;

/// A query to fan out to the servers that hold its shards.
#[derive(Clone, Debug)]
pub struct QuerySpec {
    /// Number of the query.
    pub id: QueryId,
    /// Class of the query.
    pub class: ClassIndex,
    /// Tenant of the query.
    pub tenant: TenantIndex,
    /// Time at which the query arrived.
    pub arrived_at: Timestamp,
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
    /// Identifies the attempt.
    pub attempt: AttemptId,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// Time from the sending of the attempt to its end; zero if it was never sent.
    pub elapsed: Duration,
    /// Number of requests in flight at the server, waiting or in execution, as the server reported
    /// it with its response; `None` without a report.
    pub load: Option<f64>,
}

/// The instruction to send an attempt to a server.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// Identifies the attempt.
    pub attempt: AttemptId,
    /// The server that receives the attempt.
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
    /// The query was not served, and the client may safely retry it: none of its parts was
    /// executed, or repeating them has no further effect.
    Rejected {
        /// Delay after which the client should retry; `None` if retry-after values do not reach
        /// the clients or the settings contain no maximum for them.
        retry_after: Option<Duration>,
    },
    /// The query was not served, and a retry may not be safe: parts may have been executed.
    Failed,
}

/// The final outcome of a query. Each query has exactly one, unless its client disconnects first.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedQuery {
    /// The query that ended.
    pub query: QueryId,
    /// How the query ended.
    pub outcome: QueryOutcome,
}

/// The decisions that the caller has to carry out, in this order: cancel attempts, respond to the
/// clients of finished queries, dispatch attempts. The counts need no action; they are for the log.
#[derive(Debug, Default, PartialEq)]
pub struct Decisions {
    /// Attempts to cancel. The caller still has to pass an [`AttemptReport`] for each to the
    /// engine.
    pub cancellations: Vec<AttemptId>,
    /// Queries that have ended; their clients have to be sent a response now.
    pub finished: Vec<FinishedQuery>,
    /// Attempts to send.
    pub dispatches: Vec<Dispatch>,
    /// Number of queries among `finished` that were rejected because the capacity was exhausted.
    pub over_capacity: usize,
    /// Number of queries among `finished` that the engine itself failed: the policy had not ended
    /// them, and their deadline was at most one tick (`Settings::tick`) away.
    pub expired: usize,
}
