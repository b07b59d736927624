//! Connections to data servers and the attempts on them.
//!
//! [`ServerPools`] is what the event loop works with. Each state below it has one owner:
//!
//! - `attempt_tracker`: each attempt from its assignment to a connection until its one
//!   [`EndedAttempt`] is taken, with its deadline;
//! - `connection_pool`: each connection from its opening until it is closed, and `server_table`:
//!   the servers' addresses;
//! - `connection`: the parts in flight on one connection, and with what its attempts end. It is
//!   composed of `receive_progress` (when anything was last received), `cancelled_parts` (responses
//!   that may still arrive), `send_queue` (frames to be written) and its `socket`.
//!
//! Decisions without state of their own: `selection` (the connection for a call), `timeouts` (how
//! long a connection may be idle, silent or stalled). `assignment`, `attempt` and
//! `connection_event` are plain records.
//!
//! Socket tasks report what happens as events in the event queue; the event loop passes these on to
//! the pools.

mod assignment;
mod attempt;
mod attempt_tracker;
mod cancelled_parts;
mod connection;
mod connection_event;
mod connection_pool;
mod pools;
mod receive_progress;
mod selection;
mod send_queue;
mod server_table;
mod socket;
#[cfg(test)]
mod tests;
mod timeouts;

pub use attempt::{EndedAttempt, OutgoingAttempt, OutgoingPart};
pub use pools::ServerPools;
