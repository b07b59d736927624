//! Ensures that data servers do not execute a part twice under the same idempotency key.
//!
//! Data servers drop repetitions of a part only during a replay window after the first attempt. The
//! [`IdempotencyRegister`] therefore decides which queries are admitted and which attempts are
//! sent. [`IdempotencyGuard`] notifies it of each attempt that is sent and, once the attempt has
//! ended, of whether it may have been executed.

use broker_types::query::{AttemptId, PartSpec};
use broker_types::server::Outcome;
use broker_types::time::{Timestamp, millis};
use fanout_policy::api::{RetrySafety, Settings};
use idempotency::{ExecutionEvidence, IdempotencyRegister, KeyAdmission, QueryEnd, RegisterLimits};
use policy_engine::Dispatch;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use thiserror::Error;

/// Maximum number of idempotency keys in the register. Each key takes 200 to 300 bytes.
const MAX_KEYS: usize = 8192;
/// Replay window of the register if no class has idempotency keys. The value has no effect, because
/// no key is registered then.
const UNUSED_WINDOW: Duration = Duration::from_secs(5);

/// The register of idempotency keys, and the attempts in flight that were sent under a key.
pub(super) struct IdempotencyGuard {
    register: IdempotencyRegister,
    in_flight: BTreeMap<AttemptId, KeyedPart>,
}

/// The error for an attempt that must not be sent under its idempotency key, because data servers
/// could execute the part a second time: an earlier attempt at the part is in flight, or it may
/// have been executed and its replay window has ended, so that data servers no longer recognize the
/// new attempt as a repetition.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error(
    "the part may have been executed under the same idempotency key and must not be sent again"
)]
pub(crate) struct RepetitionForbidden;

/// The key and the shard of an attempt in flight, by which the register identifies its part.
struct KeyedPart {
    key: Rc<str>,
    shard: usize,
}

impl IdempotencyGuard {
    /// Creates a guard for the classes of the settings. The register has a single replay window for
    /// all classes with idempotency keys. It is the shortest of their windows, so that no part is
    /// sent after the window of its own class. After the window the register keeps a key for the
    /// longest client timeout of all classes, so that it can still reject a late retry.
    pub(super) fn new(settings: &Settings) -> Self {
        let windows = settings
            .classes
            .iter()
            .filter_map(|class| match class.retry_safety {
                RetrySafety::IdempotencyKey { window } => Some(millis(window)),
                _ => None,
            });
        let client_timeouts = settings
            .classes
            .iter()
            .map(|class| millis(class.client_timeout));
        IdempotencyGuard {
            register: IdempotencyRegister::new(RegisterLimits {
                window: windows.min().unwrap_or(UNUSED_WINDOW),
                retention: client_timeouts.max().unwrap_or_default(),
                max_keys: MAX_KEYS,
            }),
            in_flight: BTreeMap::new(),
        }
    }

    /// Reserves a key for a query with the given parts. If the key is admitted, it stays reserved
    /// until [`IdempotencyGuard::on_query_ended`] is called. `deadline` is the time at which the
    /// query's client stops waiting.
    pub(super) fn admit(
        &mut self,
        now: Timestamp,
        key: &Rc<str>,
        parts: &[PartSpec],
        deadline: Timestamp,
    ) -> KeyAdmission {
        let shards = parts.iter().map(|part| part.shard);
        self.register.admit(now, key, shards, deadline)
    }

    /// Registers an attempt that is about to be sent. If an earlier attempt at the same part may
    /// have been executed, returns the end of the replay window: from then on the new attempt must
    /// not be sent any more. Otherwise returns `None`.
    ///
    /// # Errors
    ///
    /// Returns [`RepetitionForbidden`] if the attempt must not be sent now, because the replay
    /// window has ended or an earlier attempt at the part is in flight.
    pub(super) fn reserve_attempt(
        &mut self,
        now: Timestamp,
        key: &Rc<str>,
        shard: usize,
        dispatch: &Dispatch,
    ) -> Result<Option<Timestamp>, RepetitionForbidden> {
        if !self.register.may_send(now, key, shard) {
            return Err(RepetitionForbidden);
        }
        let send_before = self.register.window_ends_at(key, shard);
        self.register
            .on_attempt_sent(now, key, shard, dispatch.deadline);
        let key = key.clone();
        self.in_flight
            .insert(dispatch.attempt, KeyedPart { key, shard });
        Ok(send_before)
    }

    /// Records the end of an attempt. This must be called even if the attempt's query has ended
    /// before. Otherwise the attempt would still count as in flight under the query's idempotency
    /// key, and a retry of the query could not send the part. Does nothing for an attempt without
    /// an idempotency key.
    pub(super) fn on_attempt_ended(
        &mut self,
        now: Timestamp,
        attempt: AttemptId,
        outcome: Outcome,
    ) {
        if let Some(KeyedPart { key, shard }) = self.in_flight.remove(&attempt) {
            let evidence = execution_evidence(outcome);
            self.register.on_attempt_ended(now, &key, shard, evidence);
        }
    }

    /// Releases the key of a query that has ended, so that a retry of the query can be admitted.
    pub(super) fn on_query_ended(&mut self, now: Timestamp, key: &Rc<str>, end: QueryEnd) {
        self.register.on_query_ended(now, key, end);
    }
}

/// Returns what the outcome of an attempt shows about its execution by the data server.
fn execution_evidence(outcome: Outcome) -> ExecutionEvidence {
    match outcome {
        Outcome::Served | Outcome::Error => ExecutionEvidence::Executed,
        Outcome::Overloaded | Outcome::Unreachable | Outcome::NotSent => {
            ExecutionEvidence::NotExecuted
        }
        Outcome::TimedOut | Outcome::ConnectionLost | Outcome::Cancelled => {
            ExecutionEvidence::PossiblyExecuted
        }
    }
}
