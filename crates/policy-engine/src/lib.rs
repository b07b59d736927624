//! Drives the fan-out policy and keeps track of the queries that it has admitted.
//!
//! [`PolicyEngine`] is a synchronous state machine without I/O and without a clock: the caller
//! passes in the current time and the events that occurred, and carries out the returned
//! [`Decisions`]. Each of its methods that returns [`Decisions`] runs the policy at most once.
//!
//! The engine is independent of any protocol: it identifies queries and parts by numbers, and
//! servers by names. It is the only package of the broker that builds the policy's events and reads
//! its actions, and the only one that counts queries and parts against the total capacity. A query
//! is in flight from [`PolicyEngine::submit`] until its [`FinishedQuery`] is returned or
//! [`PolicyEngine::abandon`] is called.

mod admitted;
mod commands;
mod engine;
mod events;
mod names;
mod summary;

pub use commands::{AttemptReport, Decisions, Dispatch, FinishedQuery, QueryOutcome, QuerySpec};
pub use engine::PolicyEngine;
pub use summary::{PerClass, PolicySummary};
