//! Public interface of the policy: its settings, the events that it receives and the actions that
//! it returns.
//!
//! This module contains no decision logic. All times are in milliseconds on the caller's clock.
//! Work and costs are in milliseconds of a server's time.

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
