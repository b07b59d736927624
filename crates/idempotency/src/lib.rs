//! Register of idempotency keys: decides whether a client's retry may be served, and until when its
//! parts may be sent.
//!
//! Data servers drop repeated parts of a class with idempotency keys, but only during a replay
//! window after the first attempt. Within one query, the policy sends no part after its window has
//! ended. But the policy has no record of earlier queries: if a client disconnects and sends its
//! query again with the same key, the policy treats it as a new query and might send a part that
//! the servers no longer recognize as a repetition. [`IdempotencyRegister`] prevents this. While a
//! query with the same key is in flight, or a cancelled attempt may still be executed, a retry is
//! rejected, and the rejection states the time at which the client may retry. After the window of a
//! part that may have been executed, the part is not sent again, and a retry fails.
//!
//! The caller has to notify the register of each attempt that is sent
//! ([`IdempotencyRegister::on_attempt_sent`]) and of the end of each attempt
//! ([`IdempotencyRegister::on_attempt_ended`]), even if the query itself has ended before. The
//! register holds a bounded number of keys. When it is full, a new key replaces a key whose query
//! was answered. If there is no such key, the new key is rejected: a key whose client may still
//! retry must not be removed. The register does no I/O and reads no clock.
//!
//! ```
//! use broker_types::time::Timestamp;
//! use idempotency::{IdempotencyRegister, KeyAdmission, RegisterLimits};
//! use std::time::Duration;
//!
//! let mut register = IdempotencyRegister::new(RegisterLimits {
//!     window: Duration::from_secs(5),
//!     retention: Duration::from_secs(5),
//!     max_keys: 100,
//! });
//! let now = Timestamp::ORIGIN;
//! let deadline = now + Duration::from_secs(4);
//! let first = register.admit(now, &"key".into(), [0].into_iter(), deadline);
//! assert_eq!(first, KeyAdmission::Admitted);
//! let retry = register.admit(now, &"key".into(), [0].into_iter(), deadline);
//! assert_eq!(retry, KeyAdmission::RetryAt(deadline), "the first query is in flight");
//! ```

mod execution;
mod key_admission;
mod key_state;
mod query_end;
mod register;
mod retention;

pub use execution::ExecutionEvidence;
pub use key_admission::KeyAdmission;
pub use query_end::QueryEnd;
pub use register::{IdempotencyRegister, RegisterLimits};
