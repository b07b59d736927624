//! Test doubles of the services that a broker uses, on loopback: discovery and data servers. They
//! are written from the public description of the protocol and share no code with the broker
//! except the codecs.
//!
//! A [`Fleet`] runs a discovery service and several data servers on a thread of its own. While it
//! runs, a test can give each data server a [`Fault`]: the server then answers slowly, does not
//! answer, returns errors, resets connections or sends invalid frames. [`Fleet::kill`] and
//! [`Fleet::restart`] stop and restart a server. The [`AttemptLog`] records every attempt that the
//! data servers receive and how it ends; [`AttemptLog::check_invariants`] returns each violation
//! of the rules that a broker must follow. [`BrokerProcess`] starts a broker that uses the fleet,
//! with the configuration of a [`Deployment`].

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
