//! Test doubles on loopback for the services around a broker, written from the public description
//! of its protocol.
//!
//! A [`Fleet`] runs a discovery service and some data servers on a thread of its own. Each data
//! server can be made faulty while it runs ([`Fault`]): slow, hanging, failing, resetting
//! connections, sending invalid frames, or down and restarted. The [`AttemptLog`] records every
//! attempt that the data servers receive and how it ends, and [`AttemptLog::check_invariants`]
//! checks the rules that a broker must keep. [`BrokerProcess`] runs a broker beside a fleet, with
//! the configuration of a [`Deployment`].

mod attempt_log;
mod broker_process;
mod deployment;
mod discovery;
mod fault;
mod fleet;
mod notifier;
mod part_value;
mod server;
mod wire;

pub use attempt_log::{
    Attempt, AttemptEnd, AttemptLimits, AttemptLog, AttemptOutcome, AttemptSubject, ReceivedCounts,
    Violation,
};
pub use broker_process::{BrokerProcess, BrokerProcessError};
pub use deployment::Deployment;
pub use fault::Fault;
pub use fleet::{Fleet, FleetPlan, ServerHandle};
pub use part_value::part_value;
