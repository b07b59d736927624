//! Queries and their parts on arrival, and the outcomes of attempts.

use super::{ClassIndex, Ms, PartId, QueryId, TenantIndex};

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
