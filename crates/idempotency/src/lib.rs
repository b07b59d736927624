//! Register of idempotency keys: whether a client's retry may be served, and until when.
//!
//! Data servers drop repeated parts of a class with idempotency keys, but only for a window after
//! the first attempt. Within one query the policy keeps to that window. It knows nothing of earlier
//! queries: where a client disconnects and sends its query again under the same key, that is a new
//! query to the policy. [`IdempotencyRegister`] closes this gap. While a query of a key is in
//! flight, or a cancelled attempt may still be executed, a retry is rejected with the time at which
//! to come back. Once the window of a part that may have been executed has ended, that part is not
//! sent again, and a retry fails.
//!
//! The register has to be notified of each part that is sent
//! ([`IdempotencyRegister::on_attempt_sent`]) and of the end of the attempt
//! ([`IdempotencyRegister::on_attempt_ended`]), also after the query itself has ended. It holds a
//! bounded number of keys: when it is full, keys whose query was answered are forgotten first;
//! where there are none, a new key is rejected rather than an old one forgotten. It does no I/O and
//! reads no clock.
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
