//! Admission control: limits how much of the broker's capacity each client connection and each
//! listener may use.
//!
//! [`ConnectionQuota`] divides the capacity for queries and parts among client connections: an
//! HTTP/1.1 connection has at most one query in flight, but an HTTP/2 connection may have hundreds
//! and must not starve the others. [`resource_limits`] derives the limits of each listener from the
//! file descriptors and the memory that the platform assigns to client connections. Nothing here
//! does I/O or reads a clock.
//!
//! ```
//! use admission::{ConnectionId, ConnectionQuota};
//!
//! let mut quota = ConnectionQuota::new(90);
//! let (busy, idle) = (ConnectionId(1), ConnectionId(2));
//! assert!(quota.try_acquire(busy, 60), "one connection may use two thirds of the capacity");
//! assert!(!quota.try_acquire(busy, 1));
//! assert!(quota.try_acquire(idle, 1));
//! ```

mod quota;
pub mod resource_limits;

pub use quota::{ConnectionId, ConnectionQuota};
