//! Test doubles on loopback for the services around a broker, written from the public description of its protocol.
//!
//! A [`Fleet`] runs a discovery service and some data servers on a thread of its own. Each data server can be made
//! faulty while it runs ([`Fault`]): slow, hanging, failing, resetting connections, sending invalid frames, or down and
//! restarted. The [`AttemptLog`] records every attempt that the data servers receive and how it ends, and
//! [`AttemptLog::check_invariants`] checks the rules that a broker must keep. [`BrokerProcess`] runs a broker beside a
//! fleet, with the configuration of a [`Deployment`].

mod attempt_log;
mod broker_process;
mod deployment;
mod discovery;
mod fault;
mod fleet;
mod notifier;
mod server;

pub use attempt_log::{
    Attempt, AttemptEnd, AttemptLimits, AttemptLog, AttemptOutcome, AttemptSubject, ReceivedCounts,
    Violation,
};
pub use broker_process::{BrokerProcess, BrokerProcessError};
pub use deployment::Deployment;
pub use fault::Fault;
pub use fleet::{Fleet, FleetPlan, ServerHandle};

/// Returns the value of a part, which is the same at every data server that holds the shard: the FNV-1a hash of the
/// query's text, with the shard mixed into its start value.
#[must_use]
pub fn part_value(shard: usize, text: &str) -> String {
    const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    let mut hash = FNV_OFFSET_BASIS ^ shard as u64;
    for byte in text.bytes() {
        hash = (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME);
    }
    format!("{hash:016x}")
}
