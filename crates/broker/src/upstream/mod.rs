//! Connections to data servers and the attempts in flight on them.
//!
//! [`ServerPools`] owns each attempt from its sending to its one [`EndedAttempt`], and each connection from its
//! opening until its socket task is dropped, which closes the socket. Socket tasks report what happens as events
//! in the event queue; the event loop passes these on to the pools.
//!
//! - `pools`: the pools, their servers, and how connections are opened and closed;
//! - `selection`: choice of the connection that an attempt is sent on;
//! - `connection`: state of one connection;
//! - `in_flight`: the attempts in flight and the times at which they are looked at again;
//! - `cancellation`: attempts that end without a response: cancelled, withdrawn or timed out;
//! - `events`: responses and failures of connections;
//! - `expiry`: closing of connections that are idle, drained or stalled;
//! - `send_queue` and `socket`: the frames to be written, and the task that writes and reads.

mod attempt;
mod cancellation;
mod connection;
mod events;
mod expiry;
mod in_flight;
mod pools;
mod selection;
mod send_queue;
mod socket;
#[cfg(test)]
mod tests;

pub use attempt::{EndedAttempt, OutgoingAttempt, OutgoingPart};
pub use connection::ServerConnectionId;
pub use pools::ServerPools;
