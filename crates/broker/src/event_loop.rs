//! The event loop, which drains the event queue, calls the policy and executes the policy's
//! decisions. It runs on the one thread of the broker.
//!
//! An iteration handles all queued events. It then reports ended attempts to the policy, submits
//! new queries to it and polls it, in this order. The policy's decisions in each of these steps are
//! executed before the next step, except that dispatched attempts are sent at the end of the
//! iteration. Attempts to the same server can then be combined into one call, which is one frame
//! that requests several parts.
//!
//! - `iteration`: the steps of an iteration, and the time at which the next iteration starts;
//! - `query_processor`: the policy, the clients' queries and the server pools, with
//!   `dispatch_queue` for the attempts that wait to be sent and `policy_report` for the regular log
//!   event about the policy's state;
//! - `configuration`: the settings in effect and their reload;
//! - `shutdown`: the graceful shutdown;
//! - `startup`: opens the listeners and runs the event loop;
//! - `runtime`: the executor, the event queue and the clock, which all tasks share.

mod configuration;
mod dispatch_queue;
mod iteration;
mod policy_report;
mod query_processor;
mod runtime;
mod shutdown;
mod startup;

pub use startup::{ListenAddresses, StartupError, catch_signals, run};
