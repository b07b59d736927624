//! Whether a query may be served under its idempotency key.

use broker_types::time::Timestamp;

/// Whether a query may be served under its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyAdmission {
    /// The query may be served.
    Admitted,
    /// Another query of the key is in flight, one of its attempts may still be executed, or the
    /// register is full. The client may retry at this time.
    RetryAt(Timestamp),
    /// A part of an earlier query may have been executed, and servers no longer drop its
    /// repetitions.
    WindowExpired,
}
