//! Names of servers, queries and parts, and indexes of classes and tenants.

use std::sync::Arc;

/// Name of a data server. It is the same at every aggregator and survives restarts of the
/// server's process.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct NodeId(pub Arc<str>);

/// Identifier of a query, never used twice. In each batch the queries in flight are processed in
/// order of their identifiers.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct QueryId(pub Arc<str>);

/// Identifier of one part of a query, never used twice.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct PartId(pub Arc<str>);

/// Index of a query class in [`Settings::classes`](super::Settings::classes). A query with an index
/// beyond the last class is treated as a query of the last class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassIndex(pub usize);

/// Index of a tenant in [`Settings::tenants`](super::Settings::tenants). A query may have a tenant
/// that is not listed there; such a tenant has no quota.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TenantIndex(pub usize);
