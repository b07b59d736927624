//! Drives the fan-out policy and keeps track of the queries that it has admitted.
//!
//! [`PolicyEngine`] is a synchronous state machine without I/O and without a clock: the caller
//! passes in the current time and what happened, and carries out the returned [`Decisions`]. Each
//! of its methods that returns [`Decisions`] runs the policy at most once.
//!
//! The engine knows no protocol: queries, parts and servers are numbers and names here. It is the
//! only package that builds the policy's events and reads its actions, and the only one that counts
//! queries and parts against the capacity. A query is in flight from [`PolicyEngine::submit`] until
//! its one [`FinishedQuery`] or a call of [`PolicyEngine::abandon`].

mod admitted;
mod commands;
mod engine;
mod events;
mod names;
mod summary;

pub use commands::{AttemptReport, Decisions, Dispatch, FinishedQuery, QueryOutcome, QuerySpec};
pub use engine::PolicyEngine;
pub use summary::{PerClass, PolicySummary};
