//! Admission control: how much of the broker's capacity a client connection and a listener may use.
//!
//! [`ConnectionQuota`] divides the capacity for queries and parts among client connections: an HTTP/1.1 connection has
//! one query in flight, but an HTTP/2 connection may have hundreds and must not starve the others.
//! [`resource_limits`] derives the limits of each listener from the descriptors and the memory that the platform gives
//! to client connections. Nothing here does I/O or reads a clock.

mod quota;
pub mod resource_limits;

pub use quota::{ConnectionId, ConnectionQuota};
