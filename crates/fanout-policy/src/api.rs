//! Public interface of the policy: the settings it starts with, the events it takes and the
//! actions it returns.
//!
//! The types here carry no decisions. All times are milliseconds on the caller's clock.

mod actions;
mod classes;
mod endpoints;
mod events;
mod identifiers;
mod queries;
mod settings;

pub use actions::{Action, MAX_GOSSIP_BYTES};
pub use classes::{Class, RetrySafety, Tenant};
pub use endpoints::{Endpoint, ListUpdate, ServingState};
pub use events::Event;
pub use identifiers::{ClassIndex, NodeId, PartId, QueryId, TenantIndex};
pub use queries::{Outcome, Part, Query};
pub use settings::{EndpointListSource, RetryBudget, Settings, WarmUp};

/// A point in time on the caller's clock, or a duration, in milliseconds.
pub type Ms = f64;
