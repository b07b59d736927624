//! Queries and their parts on arrival, and the outcomes of attempts.

use super::{ClassIndex, Ms, PartId, QueryId, TenantIndex};

/// A query on arrival. The parts of its first step follow in the same batch. If its class has a
/// second step, the parts of that step arrive after the first answer, see
/// [`Class::has_second_step`](super::Class::has_second_step).
#[derive(Clone, Debug)]
pub struct Query {
    /// Identifier of the query.
    pub id: QueryId,
    /// Group number of the query. A [`Part`] names its query by this number and not by its
    /// identifier.
    pub group: u64,
    /// Index of its class.
    pub class: ClassIndex,
    /// Index of its tenant.
    pub tenant: TenantIndex,
    /// When the client stops waiting for an answer. A retry of the client arrives as a new query
    /// with the same deadline.
    pub client_deadline: Ms,
    /// Time for which the query has waited, since it arrived, until the batch that contains it.
    pub waited: Ms,
    /// Whether the client marked the query as a retry.
    pub is_retry: bool,
}

/// A part of a query.
#[derive(Clone, Debug)]
pub struct Part {
    /// Identifier of the part.
    pub id: PartId,
    /// Group number of the query that it belongs to, see [`Query::group`].
    pub group: u64,
    /// Number of the shard that it reads.
    pub shard: usize,
    /// Weight of the part in the answer, as a share of the total weight of the step's parts.
    pub weight: f64,
    /// Approximate work of the part; `None` if the deployment provides no hint.
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
    /// No answer arrived in time; the part may have run or may still run.
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
