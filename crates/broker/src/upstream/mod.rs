//! Connections to data servers and the attempts sent on them.
//!
//! The event loop uses [`ServerPools`]. Each piece of state behind it has exactly one owner:
//!
//! - `attempt_tracker` owns each attempt, with its deadline, from its assignment to a connection
//!   until its [`EndedAttempt`] is taken. Each attempt yields exactly one [`EndedAttempt`].
//! - `connection_pool` owns each connection from its opening until it is closed.
//! - `server_table` owns the servers' addresses and records which connections lead to each server.
//! - `connection` owns the parts in flight on one connection and decides on the outcomes of its
//!   attempts. It is composed of `receive_progress` (when anything was last received),
//!   `outstanding_parts` (parts whose responses may still arrive), `send_queue` (frames to be
//!   written), `receive_buffer` (received bytes) and `socket`.
//!
//! Two modules make decisions without state of their own: `selection` chooses the connection for a
//! call (one frame that requests one or several parts), and `timeouts` computes how long a
//! connection may be idle, silent or stalled. `assignment`, `attempt`, `stop` and
//! `connection_event` hold plain data types.
//!
//! Each socket is served by a task of its own, which appends received bytes to the connection's
//! receive buffer and reports what happens as events in the event queue. The event loop takes the
//! events from the queue and passes them to the pools, which decode the frames.

mod assignment;
mod attempt;
mod attempt_tracker;
mod connection;
mod connection_event;
mod connection_pool;
mod outstanding_parts;
mod pools;
mod receive_buffer;
mod receive_progress;
mod selection;
mod send_queue;
mod server_table;
mod socket;
mod stop;
#[cfg(test)]
mod tests;
mod timeouts;

pub use attempt::{EndedAttempt, OutgoingAttempt, OutgoingPart};
pub use pools::ServerPools;
