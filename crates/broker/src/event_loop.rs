//! The event loop: one thread that drains the event queue, asks the policy for decisions and
//! executes them.
//!
//! An iteration handles all queued events, then reports ended attempts, submits new queries and
//! polls the policy, in this order. The decisions of each of these steps are executed before the
//! next one; only the sending of attempts waits for the end of the iteration, so that attempts to
//! the same server share a call.
//!
//! - `iteration`: the order of an iteration, and when the next one starts;
//! - `query_processor`: the policy, the clients' queries and the server pools, with
//!   `dispatch_queue` for attempts that wait to be sent and `policy_report` for the log;
//! - `configuration`: the settings in effect and their reload;
//! - `shutdown`: the graceful shutdown;
//! - `startup` and `runtime`: what a start opens and creates, and what all tasks share.

mod configuration;
mod dispatch_queue;
mod iteration;
mod policy_report;
mod query_processor;
mod runtime;
mod shutdown;
mod startup;

pub use startup::{ListenAddresses, StartupError, catch_signals, run};
