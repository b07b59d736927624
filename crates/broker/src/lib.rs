//! The broker on sockets: it serves clients' queries by sending calls to data servers. Which
//! attempts are sent, and when a query is answered or rejected, is decided by `fanout_policy`
//! behind `policy_engine`.
//!
//! [`event_loop`] executes these decisions. [`listeners`] serve the clients' connections,
//! [`upstream`] the connections to data servers, and [`discovery`] watches the endpoint list. They
//! report events through the [`event_queue`].

pub mod clock;
pub mod discovery;
pub mod event_loop;
pub mod event_queue;
pub mod listeners;
pub mod net;
mod notify;
pub mod operator;
mod queries;
pub mod upstream;
