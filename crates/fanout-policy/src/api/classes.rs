//! Settings of the query classes and the tenants.

use super::Ms;

/// Whether a part may safely be executed more than once.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RetrySafety {
    /// Executing the part again has no further effect.
    Idempotent,
    /// Servers recognize repeats of the part by an idempotency key and do not execute them again.
    IdempotencyKey {
        /// Replay window: time during which servers recognize repeats, from the sending of the
        /// first attempt that may have run.
        window: Ms,
    },
    /// Each execution of the part takes effect again.
    NotIdempotent,
}

/// Settings of one query class.
#[derive(Clone, Debug)]
pub struct Class {
    /// Time within which an answer has the full priority weight, from the client's first sending of
    /// the query.
    pub latency_objective: Ms,
    /// Time after which a client gives up, from its first sending of the query. Retries do not
    /// extend it.
    pub client_timeout: Ms,
    /// Weight of a complete answer within the latency objective. Under overload, the queries with
    /// the lowest weight in proportion to their work are the first to be rejected.
    pub priority_weight: f64,
    /// Weight of an answer after the latency objective, as a fraction of the priority weight.
    pub late_weight: f64,
    /// Whether the parts of its queries may safely be executed more than once.
    pub retry_safety: RetrySafety,
    /// Minimum share of the total part weight that makes an answer complete.
    pub required_share: f64,
    /// Minimum share of the total part weight with which a partial answer may be given.
    pub minimum_share: f64,
    /// Factor on the weight of partial answers. A partial answer with a share `s` of the total part
    /// weight has the weight `priority_weight * partial_weight * s / required_share`.
    pub partial_weight: f64,
    /// Whether a second step with further parts follows the first answer.
    pub has_second_step: bool,
}

/// Settings of one tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Quota of the tenant in queries per second, over all aggregators together.
    pub quota_per_s: f64,
}
