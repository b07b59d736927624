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
    /// Length of the replay window: time after the first attempt at a part during which servers
    /// drop repetitions of the part.
    pub window: Duration,
    /// Time after the replay window during which clients may still retry. So that it can reject
    /// such a retry, the register keeps a key under which a part may have been executed at least
    /// until the end of this time. Only the key of an answered query may be removed earlier. The
    /// register keeps keys for the sum of `window` and `retention` after the latest activity at any
    /// part. That is long enough, because the latest activity is never before the first attempt at
    /// any part.
    pub retention: Duration,
    /// Maximum number of keys in the register.
    pub max_keys: usize,
}

/// The idempotency keys under which parts were sent, and the state of these parts.
#[derive(Debug)]
pub struct IdempotencyRegister {
    limits: RegisterLimits,
    keys: BTreeMap<Rc<str>, KeyState>,
    /// The keys without a query in flight.
    retention: RetentionQueue,
}

impl IdempotencyRegister {
    /// Creates an empty register.
    #[must_use]
    pub fn new(limits: RegisterLimits) -> Self {
        IdempotencyRegister {
            limits,
            keys: BTreeMap::new(),
            retention: RetentionQueue::default(),
        }
    }

    /// Decides whether a query with this key and with parts for `shards` may be served. `deadline`
    /// is the time until which its client waits. If the query is [`KeyAdmission::Admitted`], the
    /// register records it as in flight, and the caller has to call
    /// [`IdempotencyRegister::on_query_ended`] when it ends. A query that is not admitted is not
    /// recorded.
    #[must_use]
    pub fn admit(
        &mut self,
        now: Timestamp,
        key: &Rc<str>,
        shards: impl Iterator<Item = usize>,
        deadline: Timestamp,
    ) -> KeyAdmission {
        self.remove_expired_keys(now);
        let admission = match self.keys.get(key) {
            Some(state) => state.admission(now, self.limits.window, shards),
            None => self.admit_new_key(deadline),
        };
        if admission == KeyAdmission::Admitted {
            let state = self.keys.entry(key.clone()).or_default();
            state.start_query(deadline);
            self.retention.remove(&RetainedKey {
                expires_at: state.expires_at(),
                key: key.clone(),
            });
        }
        admission
    }

    /// Returns `true` if the part may be sent at `now`. It must not be sent while an attempt at it
    /// is in flight, nor after the replay window of an attempt that may have been executed.
    #[must_use]
    pub fn may_send(&self, now: Timestamp, key: &str, shard: usize) -> bool {
        self.part(key, shard)
            .is_none_or(|part| part.may_send(now, self.limits.window))
    }

    /// Returns the end of the part's replay window, from which on the part must not be sent; `None`
    /// if no attempt at it may have been executed.
    #[must_use]
    pub fn window_ends_at(&self, key: &str, shard: usize) -> Option<Timestamp> {
        self.part(key, shard)?.window_ends_at(self.limits.window)
    }

    /// Records that an attempt at a part is sent. The attempt times out at `deadline`.
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

    /// Records that an attempt at a part has ended, and whether it may have been executed.
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

    /// Records that the query in flight with this key has ended. If a part may have been executed or
    /// an attempt is still in flight, the register keeps the key until it expires; a key whose query
    /// was [`QueryEnd::Answered`] may be removed earlier to make space for a new key. If
    /// all parts are known not to have been executed, the key is removed immediately.
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
        let expires_at = state.latest_activity(now) + self.limits.window + self.limits.retention;
        let retained = RetainedKey {
            expires_at: state.retain_until(expires_at),
            key: key.clone(),
        };
        self.retention.insert(retained, end);
    }

    /// Returns the number of keys in the register.
    #[must_use]
    pub fn key_count(&self) -> usize {
        self.keys.len()
    }

    fn part(&self, key: &str, shard: usize) -> Option<&PartState> {
        self.keys.get(key)?.part(shard)
    }

    /// Decides whether a key that is not in the register may be added. If the register is full, a
    /// key whose query was answered is removed to make space. Other keys are not removed, because
    /// their clients may still retry: a retry whose key was removed would count as a new query and
    /// be served, although its parts may have been executed. If no key can be removed, the client
    /// may retry when the next key expires, or at `deadline` if all keys have a query in flight.
    fn admit_new_key(&mut self, deadline: Timestamp) -> KeyAdmission {
        if self.keys.len() < self.limits.max_keys {
            return KeyAdmission::Admitted;
        }
        if let Some(evicted) = self.retention.pop_answered() {
            self.keys.remove(&evicted.key);
            return KeyAdmission::Admitted;
        }
        let retry_at = self.retention.earliest_expiry().unwrap_or(deadline);
        KeyAdmission::RetryAt(retry_at)
    }

    /// Removes all keys that have expired at `now` and that have no attempt in flight.
    fn remove_expired_keys(&mut self, now: Timestamp) {
        while let Some(expired) = self.retention.first_expired(now).cloned() {
            let end = self.retention.remove(&expired);
            self.remove_or_postpone(now, expired, end);
        }
    }

    /// Removes an expired key, unless it has an attempt in flight. The deadline of such an attempt
    /// has passed, so that its end should have been reported by now. Without this report the
    /// register cannot tell whether the attempt is over, and keeps the key for another replay
    /// window.
    fn remove_or_postpone(&mut self, now: Timestamp, expired: RetainedKey, end: QueryEnd) {
        let Some(state) = self.keys.get_mut(&expired.key) else {
            return;
        };
        if !state.has_attempt_in_flight() {
            self.keys.remove(&expired.key);
            return;
        }
        let postponed = RetainedKey {
            expires_at: state.retain_until(now + self.limits.window),
            key: expired.key,
        };
        self.retention.insert(postponed, end);
    }
}
