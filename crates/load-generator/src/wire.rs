//! The protocol between clients and a broker: names of header fields and JSON fields, and the
//! values that all queries of this package have in common.

use serde::Serialize;

/// Authority in the URI of each query.
pub(crate) const AUTHORITY: &str = "broker.svc";
/// Tenant of each query.
pub(crate) const TENANT: &str = "public-site";

/// Header that contains the request id.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header that contains the name of the query's class.
pub(crate) const CLASS_HEADER: &str = "x-class";
/// Header that contains the name of the tenant.
pub(crate) const TENANT_HEADER: &str = "x-tenant";
/// Header that contains the time for which the client waits, for example `2500m` for 2.5 s.
pub(crate) const DEADLINE_HEADER: &str = "x-deadline";
/// Header that contains the idempotency key.
pub(crate) const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Field of an answer: whether the answer is complete.
pub(crate) const COMPLETE_FIELD: &str = "total";
/// Field of an answer: the list of the shards' values.
pub(crate) const VALUES_FIELD: &str = "answers";
/// Field of an entry in the list of values: the index of the shard.
pub(crate) const SHARD_FIELD: &str = "range";
/// Field of an entry in the list of values: the value of the shard.
pub(crate) const VALUE_FIELD: &str = "blob";

/// Body of a query for shard 0.
pub const QUERY_BODY: &[u8] = br#"{"ranges":[{"range":0,"portion":1}],"predicate":"c41e77d0"}"#;

/// Body of a query.
#[derive(Debug, Serialize)]
pub(crate) struct QueryBodyWire<'a> {
    #[serde(rename = "predicate")]
    pub(crate) text: &'a str,
    #[serde(rename = "ranges")]
    pub(crate) shards: Vec<ShardWire>,
}

/// Shard in the body of a query.
#[derive(Debug, Serialize)]
pub(crate) struct ShardWire {
    /// Share of the complete answer that the shard contributes, from 0 to 1.
    pub(crate) portion: f64,
    #[serde(rename = "range")]
    pub(crate) shard: usize,
}
