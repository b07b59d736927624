//! The register of idempotency keys.

use crate::execution::ExecutionEvidence;
use crate::key_admission::KeyAdmission;
use crate::key_state::{KeyState, PartState};
use crate::query_end::QueryEnd;
use crate::retention::{RetainedKey, RetentionQueue};
use broker_types::time::Timestamp;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

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

    /// Asks whether a query of this key with parts for these shards may be served; its client waits
    /// until `deadline`. Where it is [`KeyAdmission::Admitted`],
    /// [`IdempotencyRegister::on_query_ended`] has to be called at its end. Otherwise nothing of it
    /// is remembered.
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
            state.start_query(deadline);
            self.retention.remove(&RetainedKey {
                forget_at: state.forget_at(),
                key: key.clone(),
            });
        }
        admission
    }

    /// Whether the part may be sent now: not while an attempt is in flight, nor after the window of
    /// an attempt that may have been executed.
    #[must_use]
    pub fn may_send(&self, now: Timestamp, key: &str, shard: usize) -> bool {
        self.part(key, shard)
            .is_none_or(|part| part.may_send(now, self.limits.window))
    }

    /// Time from which on the part may not be sent; `None` where no attempt at it may have been
    /// executed.
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
            state.on_attempt_sent(now, shard, deadline);
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

    /// Records that the query of this key has ended.
    pub fn on_query_ended(&mut self, now: Timestamp, key: &Rc<str>, end: QueryEnd) {
        let Some(state) = self.keys.get_mut(key) else {
            return;
        };
        if state.end_query().is_none() {
            return;
        }
        if !state.has_parts() {
            self.keys.remove(key);
            return;
        }
        let forget_at = state.latest_activity(now) + self.limits.window + self.limits.retention;
        let retained = RetainedKey {
            forget_at: state.retain_until(forget_at),
            key: key.clone(),
        };
        self.retention.insert(retained, end);
    }

    /// Number of keys that are remembered.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    fn part(&self, key: &str, shard: usize) -> Option<&PartState> {
        self.keys.get(key)?.part(shard)
    }

    /// Admits a key that is not remembered, where there is space for it or a key whose query was
    /// answered can be forgotten. A full register must not let a retry through by forgetting the
    /// key that it repeats.
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
            let end = self.retention.remove(&expired);
            self.forget_or_postpone(now, expired, end);
        }
    }

    /// Forgets a key, unless it has an attempt in flight: such an attempt is past its deadline and
    /// its end should have been reported, but the key must not be forgotten all the same.
    fn forget_or_postpone(&mut self, now: Timestamp, expired: RetainedKey, end: QueryEnd) {
        let Some(state) = self.keys.get_mut(&expired.key) else {
            return;
        };
        if !state.has_attempt_in_flight() {
            self.keys.remove(&expired.key);
            return;
        }
        let postponed = RetainedKey {
            forget_at: state.retain_until(now + self.limits.window),
            key: expired.key,
        };
        self.retention.insert(postponed, end);
    }
}
