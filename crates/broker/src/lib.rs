//! The broker on sockets: clients in front, data servers behind. What to send where, when to try again, answer or
//! refuse is decided by `fanout_policy`, behind the facade `policy_engine`.
//!
//! [`turns`] runs the turns; [`listeners`] serves the clients, [`upstream`] the connections to data servers, and
//! [`discovery`] watches the list of these. They tell the turns what happened through the [`event_queue`].

pub mod clock;
pub mod discovery;
pub mod event_queue;
pub mod listeners;
pub mod net;
pub mod operator;
mod queries;
pub mod turns;
pub mod upstream;
