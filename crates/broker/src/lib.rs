//! The network side of the broker: it receives clients' queries and sends their parts to data
//! servers. The crate `fanout_policy` decides which attempts are sent and when a query is answered
//! or rejected; the broker calls it through `policy_engine`.
//!
//! [`event_loop`] executes the decisions of the policy. [`listeners`] serves the clients'
//! connections, [`upstream`] serves the connections to data servers, and [`discovery`] watches the
//! endpoint list. These three report events to the event loop through the [`event_queue`].

pub mod clock;
pub mod discovery;
pub mod event_loop;
pub mod event_queue;
pub mod executor;
pub mod listeners;
pub mod net;
mod notify;
pub mod operator;
mod queries;
mod request_ids;
pub mod upstream;
