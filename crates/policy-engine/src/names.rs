//! Conversion between the numbers of queries and parts and the text ids that the policy uses.
//!
//! The policy processes queries and parts in the order of their ids. The numbers in an id are
//! padded with zeros, so that queries are sorted in the order of their arrival, and parts in the
//! order of their index. Without the padding, the text of 10 would come before that of 9. The
//! padding suffices for every query number, and for the part indices below 1000.

use broker_types::query::{PartIndex, QueryId};
use fanout_policy::api::{PartId, QueryId as PolicyQueryId};

/// Identifies a part among the parts of all queries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct PartKey {
    pub(crate) query: QueryId,
    pub(crate) part: PartIndex,
}

/// Returns the policy's id of a query.
pub(crate) fn policy_query_id(query: QueryId) -> PolicyQueryId {
    PolicyQueryId(format!("{:020}", query.0).into())
}

/// Returns the policy's id of a part.
pub(crate) fn policy_part_id(query: QueryId, part: PartIndex) -> PartId {
    PartId(format!("{:020}.{:03}", query.0, part.0).into())
}

/// Parses an id that [`policy_query_id`] has built; returns `None` if the text is not a number.
pub(crate) fn parse_query_id(id: &PolicyQueryId) -> Option<QueryId> {
    id.0.parse().ok().map(QueryId)
}

/// Parses an id that [`policy_part_id`] has built; returns `None` if the text is not two numbers
/// with a period between them.
pub(crate) fn parse_part_id(id: &PartId) -> Option<PartKey> {
    let (query, part) = id.0.split_once('.')?;
    Some(PartKey {
        query: QueryId(query.parse().ok()?),
        part: PartIndex(part.parse().ok()?),
    })
}

#[cfg(test)]
mod tests;
