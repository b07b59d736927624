//! The names under which the policy knows queries and parts.
//!
//! The policy orders its work by name, so that numbers are padded with zeros: queries then come in the order of their
//! arrival, and parts in the order of their index.

use broker_types::query::{PartIndex, QueryId};
use fanout_policy::api::RequestId;

/// A part, as its name identifies it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PartKey {
    pub(crate) query: QueryId,
    pub(crate) part: PartIndex,
}

/// The policy's name of a query.
pub(crate) fn query_name(query: QueryId) -> RequestId {
    RequestId(format!("{:020}", query.0).into())
}

/// The policy's name of a part.
pub(crate) fn part_name(query: QueryId, part: PartIndex) -> RequestId {
    RequestId(format!("{:020}.{:03}", query.0, part.0).into())
}

/// The query of this name; `None` where [`query_name`] makes no such name.
pub(crate) fn parse_query(name: &RequestId) -> Option<QueryId> {
    name.0.parse().ok().map(QueryId)
}

/// The part of this name; `None` where [`part_name`] makes no such name.
pub(crate) fn parse_part(name: &RequestId) -> Option<PartKey> {
    let (query, part) = name.0.split_once('.')?;
    Some(PartKey {
        query: QueryId(query.parse().ok()?),
        part: PartIndex(part.parse().ok()?),
    })
}

#[cfg(test)]
mod tests;
