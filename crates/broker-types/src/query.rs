//! Queries: what a client requests, their parts and attempts, and the one final response.

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

/// Position of a part among the parts of its query, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PartIndex(pub usize);

impl fmt::Display for PartIndex {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// One attempt at a part of a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct AttemptId {
    /// The query of the part.
    pub query: QueryId,
    /// The part of the query.
    pub part: PartIndex,
    /// Number of the attempt among those at the part, from 0.
    pub attempt: u32,
}

/// One part of a query, as the policy sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct PartSpec {
    /// Index of the shard that the part is for.
    pub shard: usize,
    /// Share of the complete answer, from 0 to 1; the weights of a query add up to 1.
    pub weight: f64,
    /// The client's estimate of the work in the part, if it gave one.
    pub work_hint: Option<Duration>,
}

/// A client's request for a query.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryRequest {
    /// Id of the request, which data servers see too.
    pub id: Rc<str>,
    /// Class of the query.
    pub class: ClassIndex,
    /// Tenant of the query.
    pub tenant: TenantIndex,
    /// Time that the client waits for the response.
    pub client_timeout: Duration,
    /// Whether the client marked the request as a retry.
    pub is_retry: bool,
    /// The idempotency key, where the class uses them.
    pub idempotency_key: Option<Rc<str>>,
    /// The parts of the query.
    pub parts: Vec<PartSpec>,
    /// The predicate that is sent to the servers with each part.
    pub payload: Rc<str>,
}

/// The value that a data server gave for one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ShardValue {
    /// Index of the shard.
    pub shard: usize,
    /// The value, as the server sent it.
    pub value: String,
}

/// The one final response to a client.
#[derive(Clone, Debug, PartialEq)]
pub enum FinalResponse {
    /// The query was served.
    Answered {
        /// Whether the answer is complete.
        is_complete: bool,
        /// The values of the parts that were served.
        values: Vec<ShardValue>,
    },
    /// The query was not served and had no effect, so that the client may retry.
    Rejected {
        /// Time after which the client should retry.
        retry_after: Option<Duration>,
    },
    /// The query was not served; whether it had an effect is unknown.
    Failed,
    /// The request is malformed or asks for something that does not exist.
    Invalid {
        /// HTTP status code of the response.
        status: u16,
        /// What is wrong with the request, in words for the client.
        reason: String,
    },
}

/// The names behind the indices of the settings.
#[derive(Clone, Debug, Default)]
pub struct Names {
    /// Name of each class.
    pub classes: Vec<String>,
    /// Name of each tenant; empty where the deployment has none.
    pub tenants: Vec<String>,
    /// Name of each zone.
    pub zones: Vec<String>,
}
