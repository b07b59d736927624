//! Who may take how much of the broker's room, without I/O or clock.
//!
//! [`ConnectionQuota`] divides the room for queries and parts among connections: an HTTP/1.1 connection has one query in hand,
//! an HTTP/2 connection may have hundreds, and must not shut out the others. [`resource_limits`] derives how much each front
//! may hold from the limits of the platform, so that all of them together stay within the memory given to clients.

mod quota;
pub mod resource_limits;

pub use quota::{ConnectionId, ConnectionQuota};
