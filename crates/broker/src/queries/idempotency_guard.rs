//! Idempotency keys of the queries in flight: which attempts may be sent, and what their ends
//! prove.

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

/// Largest number of idempotency keys in the register. Each takes 200 to 300 bytes.
const MAX_KEYS: usize = 8192;
/// Window of the register if no class has idempotency keys. No key is registered then.
const UNUSED_WINDOW: Duration = Duration::from_secs(5);

/// The register of idempotency keys, and the attempts in flight that belong to a key.
pub(super) struct IdempotencyGuard {
    register: IdempotencyRegister,
    in_flight: BTreeMap<AttemptId, KeyedPart>,
}

/// An earlier attempt at a part may have been executed, so long ago that the data servers no longer
/// recognize a retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("the window of the idempotency key is closed")]
pub(crate) struct WindowClosed;

/// A part of a query with an idempotency key.
struct KeyedPart {
    key: Rc<str>,
    shard: usize,
}

impl IdempotencyGuard {
    /// Returns a guard for the classes of the settings. The shortest window of all classes holds
    /// for each of them.
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

    /// Reserves a key for a query with these parts, until the query ends.
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

    /// Registers an attempt that is about to be sent. Returns the time from which on it must not be
    /// sent any more, if an earlier attempt may have been executed.
    ///
    /// # Errors
    ///
    /// That time has come already.
    pub(super) fn reserve_attempt(
        &mut self,
        now: Timestamp,
        key: &Rc<str>,
        shard: usize,
        dispatch: &Dispatch,
    ) -> Result<Option<Timestamp>, WindowClosed> {
        if !self.register.may_send(now, key, shard) {
            return Err(WindowClosed);
        }
        let send_before = self.register.window_ends_at(key, shard);
        self.register
            .on_attempt_sent(now, key, shard, dispatch.deadline);
        let key = key.clone();
        self.in_flight
            .insert(dispatch.attempt, KeyedPart { key, shard });
        Ok(send_before)
    }

    /// Records the end of an attempt, also after its query has ended.
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

    /// Releases the key of a query that has ended.
    pub(super) fn on_query_ended(&mut self, now: Timestamp, key: &Rc<str>, end: QueryEnd) {
        self.register.on_query_ended(now, key, end);
    }
}

/// Returns what the outcome of an attempt proves about its execution at the data server.
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
