//! Classes of queries and the tenants that send them, as the settings state them.

use super::Ms;

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
