//! The decision whether a query may be served under its idempotency key.

use broker_types::time::Timestamp;

/// The decision whether a query may be served under its idempotency key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyAdmission {
    /// The query may be served.
    Admitted,
    /// The query must not be served now: another query with the same key is in flight, an attempt
    /// at one of the parts under this key may still be executed, or the register is full. The
    /// client may retry at this time.
    RetryAt(Timestamp),
    /// The query must not be served at all: one of its parts may have been executed for an earlier
    /// query with the same key, and servers no longer drop repetitions of that part.
    WindowExpired,
}
