//! The names that clients share with a broker: the only place with them.

use serde::Serialize;

/// Authority of the broker.
pub(crate) const AUTHORITY: &str = "broker.svc";
/// Tenant of all queries.
pub(crate) const TENANT: &str = "public-site";

/// Header with the request id.
pub(crate) const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header with the class.
pub(crate) const CLASS_HEADER: &str = "x-class";
/// Header with the tenant.
pub(crate) const TENANT_HEADER: &str = "x-tenant";
/// Header with the time that the client waits.
pub(crate) const DEADLINE_HEADER: &str = "x-deadline";
/// Header with the idempotency key.
pub(crate) const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Field of an answer: whether it is complete.
pub(crate) const COMPLETE_FIELD: &str = "total";
/// Field of an answer: the list of its values.
pub(crate) const VALUES_FIELD: &str = "answers";
/// Field of a value: its shard.
pub(crate) const SHARD_FIELD: &str = "range";
/// Field of a value: the value itself.
pub(crate) const VALUE_FIELD: &str = "blob";

/// The body of a query for shard 0.
pub const QUERY_BODY: &[u8] = br#"{"ranges":[{"range":0,"portion":1}],"predicate":"c41e77d0"}"#;

/// The body of a query.
#[derive(Debug, Serialize)]
pub(crate) struct QueryBodyWire<'a> {
    #[serde(rename = "predicate")]
    pub(crate) text: &'a str,
    #[serde(rename = "ranges")]
    pub(crate) shards: Vec<ShardWire>,
}

/// A shard in the body of a query.
#[derive(Debug, Serialize)]
pub(crate) struct ShardWire {
    /// The shard's portion of the query's value.
    pub(crate) portion: f64,
    #[serde(rename = "range")]
    pub(crate) shard: usize,
}
