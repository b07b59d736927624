//! The text ids under which the policy knows queries and parts.
//!
//! The policy orders its work by these ids, so that numbers are padded with zeros: queries then
//! come in the order of their arrival, and parts in the order of their index.

use broker_types::query::{PartIndex, QueryId};
use fanout_policy::api::{PartId, QueryId as PolicyQueryId};

/// Identifies a part among all queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PartKey {
    pub(crate) query: QueryId,
    pub(crate) part: PartIndex,
}

/// The policy's id of a query.
pub(crate) fn query_name(query: QueryId) -> PolicyQueryId {
    PolicyQueryId(format!("{:020}", query.0).into())
}

/// The policy's id of a part.
pub(crate) fn part_name(query: QueryId, part: PartIndex) -> PartId {
    PartId(format!("{:020}.{:03}", query.0, part.0).into())
}

/// Parses an id that [`query_name`] made; `None` for any other.
pub(crate) fn parse_query(name: &PolicyQueryId) -> Option<QueryId> {
    name.0.parse().ok().map(QueryId)
}

/// Parses an id that [`part_name`] made; `None` for any other.
pub(crate) fn parse_part(name: &PartId) -> Option<PartKey> {
    let (query, part) = name.0.split_once('.')?;
    Some(PartKey {
        query: QueryId(query.parse().ok()?),
        part: PartIndex(part.parse().ok()?),
    })
}

#[cfg(test)]
mod tests;
