//! Queries as clients request them, their parts and attempts, and the final response.

use std::fmt;
use std::rc::Rc;
use std::time::Duration;

pub use fanout_policy::api::{ClassIndex, TenantIndex};

/// Number of a query, unique within the life of the process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct QueryId(pub u64);

impl fmt::Display for QueryId {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Index of a part among the parts of its query, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartIndex(pub usize);

impl fmt::Display for PartIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Identifies one attempt at a part of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// Number of the query.
    pub query: QueryId,
    /// Index of the part within the query.
    pub part: PartIndex,
    /// Number of the attempt among the attempts at the part, from 0.
    pub attempt: u32,
}

/// One part of a query, in the form that the policy engine takes.
#[derive(Clone, Debug, PartialEq)]
pub struct PartSpec {
    /// Index of the shard that the part is for.
    pub shard: usize,
    /// Share of the complete answer that the part contributes, from 0 to 1. The weights of all
    /// parts of a query add up to 1.
    pub weight: f64,
    /// The client's estimate of the work that the part takes; `None` if the request contains none.
    pub work_hint: Option<Duration>,
}

/// A client's request for a query.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryRequest {
    /// Id of the request. The id under which a data server receives a part of the query consists of
    /// this id and the shard.
    pub id: Rc<str>,
    /// Class of the query.
    pub class: ClassIndex,
    /// Tenant of the query.
    pub tenant: TenantIndex,
    /// Time for which the client waits for the response.
    pub client_timeout: Duration,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// The idempotency key; `None` if the class of the query does not use idempotency keys.
    pub idempotency_key: Option<Rc<str>>,
    /// The parts of the query.
    pub parts: Vec<PartSpec>,
    /// The predicate that the broker sends to the data servers with each part.
    pub payload: Rc<str>,
}

/// The value that a data server returned for one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardValue {
    /// Index of the shard.
    pub shard: usize,
    /// The value, unchanged from the server's response.
    pub value: String,
}

/// The final response to a client. Each request receives exactly one, unless its client disconnects
/// first.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalResponse {
    /// The query was served.
    Answered {
        /// Whether the answer is complete rather than partial: the weights of the served parts add
        /// up to at least the share that the settings require for the class.
        is_complete: bool,
        /// The values of the parts that were served.
        values: Vec<ShardValue>,
    },
    /// The query was not served, and the client may safely retry it: none of its parts was
    /// executed, or repeating them has no further effect.
    Rejected {
        /// Delay after which the client should retry; `None` if the response does not state one.
        retry_after: Option<Duration>,
    },
    /// The query was not served, and a retry may not be safe: parts may have been executed.
    Failed,
    /// The request is malformed or asks for something that does not exist.
    Invalid {
        /// HTTP status code of the response.
        status: u16,
        /// Description of the error, which is sent to the client.
        reason: String,
    },
}

/// The names of the classes, tenants and zones. Each list is in the order of the settings, so that
/// a name's position is the index that the policy uses.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Names of the classes.
    pub classes: Vec<String>,
    /// Names of the tenants; empty if the deployment has no tenants.
    pub tenants: Vec<String>,
    /// Names of the zones.
    pub zones: Vec<String>,
}
