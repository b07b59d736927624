//! The register of idempotency keys.

use crate::key_state::{KeyState, PartState};
use crate::retention::{RetainedKey, RetentionQueue};
use broker_types::time::Timestamp;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Whether a query may be served under its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum KeyAdmission {
    /// The query may be served.
    Admitted,
    /// Another query of the key is in flight, one of its attempts may still be executed, or the register is full. The
    /// client may retry at this time.
    RetryAt(Timestamp),
    /// A part of an earlier query may have been executed, and servers no longer drop its repetitions.
    WindowExpired,
}

/// What the end of an attempt proves about its execution.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExecutionEvidence {
    /// The attempt was not executed and will not be.
    NotExecuted,
    /// The attempt was executed, and its execution is over.
    Executed,
    /// The attempt may have been executed, or may yet be until its deadline.
    PossiblyExecuted,
}

/// Time limits and size of an [`IdempotencyRegister`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RegisterLimits {
    /// Time after the first attempt in which servers drop repetitions.
    pub window: Duration,
    /// Time after the window in which clients may still retry: for so long a key is remembered.
    pub retention: Duration,
    /// Most keys that are remembered.
    pub max_keys: usize,
}

/// The idempotency keys under which parts were sent.
#[derive(Debug)]
pub struct IdempotencyRegister {
    limits: RegisterLimits,
    keys: BTreeMap<Rc<str>, KeyState>,
    /// The keys without a query in flight.
    retention: RetentionQueue,
}

impl IdempotencyRegister {
    /// An empty register.
    #[must_use]
    pub fn new(limits: RegisterLimits) -> Self {
        IdempotencyRegister {
            limits,
            keys: BTreeMap::new(),
            retention: RetentionQueue::default(),
        }
    }

    /// Asks whether a query of this key with parts for these shards may be served; its client waits until `deadline`.
    /// Where it is [`KeyAdmission::Admitted`], [`IdempotencyRegister::on_query_ended`] has to be called at its end.
    /// Otherwise nothing of it is remembered.
    #[must_use]
    pub fn admit(
        &mut self,
        now: Timestamp,
        key: &Rc<str>,
        shards: impl Iterator<Item = usize>,
        deadline: Timestamp,
    ) -> KeyAdmission {
        self.forget_expired_keys(now);
        let admission = match self.keys.get(key) {
            Some(state) => state.admission(now, self.limits.window, shards),
            None => self.admit_new_key(deadline),
        };
        if admission == KeyAdmission::Admitted {
            let state = self.keys.entry(key.clone()).or_default();
            state.query_deadline = Some(deadline);
            self.retention.remove(&RetainedKey {
                forget_at: state.forget_at,
                key: key.clone(),
            });
        }
        admission
    }

    /// Whether the part may be sent now: not while an attempt is in flight, nor after the window of an attempt that
    /// may have been executed.
    #[must_use]
    pub fn may_send(&self, now: Timestamp, key: &str, shard: usize) -> bool {
        self.part(key, shard)
            .is_none_or(|part| part.may_send(now, self.limits.window))
    }

    /// Time from which on the part may not be sent; `None` where no attempt at it may have been executed.
    #[must_use]
    pub fn window_ends_at(&self, key: &str, shard: usize) -> Option<Timestamp> {
        self.part(key, shard)?.window_ends_at(self.limits.window)
    }

    /// Records that an attempt at a part is sent, which times out at `deadline`.
    pub fn on_attempt_sent(
        &mut self,
        now: Timestamp,
        key: &str,
        shard: usize,
        deadline: Timestamp,
    ) {
        if let Some(state) = self.keys.get_mut(key) {
            let part = state.parts.entry(shard).or_default();
            part.on_attempt_sent(now, deadline);
        }
    }

    /// Records that an attempt at a part has ended.
    pub fn on_attempt_ended(
        &mut self,
        now: Timestamp,
        key: &str,
        shard: usize,
        evidence: ExecutionEvidence,
    ) {
        if let Some(state) = self.keys.get_mut(key) {
            state.on_attempt_ended(now, shard, evidence);
        }
    }

    /// Records that the query of this key has ended, with an answer or without one. After an answer its client has no
    /// reason to retry.
    pub fn on_query_ended(&mut self, now: Timestamp, key: &Rc<str>, is_answered: bool) {
        let Some(state) = self.keys.get_mut(key) else {
            return;
        };
        if state.query_deadline.take().is_none() {
            return;
        }
        if state.parts.is_empty() {
            self.keys.remove(key);
            return;
        }
        state.forget_at = state.latest_activity(now) + self.limits.window + self.limits.retention;
        let retained = RetainedKey {
            forget_at: state.forget_at,
            key: key.clone(),
        };
        self.retention.insert(retained, is_answered);
    }

    /// Number of keys that are remembered.
    #[must_use]
    pub fn len(&self) -> usize {
        self.keys.len()
    }

    /// Whether no key is remembered.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.keys.is_empty()
    }

    fn part(&self, key: &str, shard: usize) -> Option<&PartState> {
        self.keys.get(key)?.parts.get(&shard)
    }

    /// Admits a key that is not remembered, where there is space for it or a key whose query was answered can be
    /// forgotten. A full register must not let a retry through by forgetting the key that it repeats.
    fn admit_new_key(&mut self, deadline: Timestamp) -> KeyAdmission {
        if self.keys.len() < self.limits.max_keys {
            return KeyAdmission::Admitted;
        }
        if let Some(evicted) = self.retention.pop_answered() {
            self.keys.remove(&evicted.key);
            return KeyAdmission::Admitted;
        }
        let retry_at = self.retention.earliest().unwrap_or(deadline);
        KeyAdmission::RetryAt(retry_at)
    }

    fn forget_expired_keys(&mut self, now: Timestamp) {
        while let Some(expired) = self.retention.first_expired(now).cloned() {
            let is_answered = self.retention.remove(&expired);
            self.forget_or_postpone(now, expired, is_answered);
        }
    }

    /// Forgets a key, unless it has an attempt in flight: such an attempt is past its deadline and its end should have
    /// been reported, but the key must not be forgotten all the same.
    fn forget_or_postpone(&mut self, now: Timestamp, expired: RetainedKey, is_answered: bool) {
        let Some(state) = self.keys.get_mut(&expired.key) else {
            return;
        };
        if !state.has_attempt_in_flight() {
            self.keys.remove(&expired.key);
            return;
        }
        state.forget_at = now + self.limits.window;
        let postponed = RetainedKey {
            forget_at: state.forget_at,
            key: expired.key,
        };
        self.retention.insert(postponed, is_answered);
    }
}
