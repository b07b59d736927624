//! The state of one idempotency key and of the parts that were sent under it.

use crate::execution::ExecutionEvidence;
use crate::key_admission::KeyAdmission;
use broker_types::time::Timestamp;
use std::collections::BTreeMap;
use std::time::Duration;

/// The state of one part that was sent under a key.
#[derive(Clone, Debug, Default)]
pub(crate) struct PartState {
    /// Time at which the first attempt was sent. It stays the same if that attempt was not executed
    /// but a later one is in flight or may have been executed.
    first_sent_at: Option<Timestamp>,
    /// Number of attempts in flight.
    in_flight: u32,
    /// Number of ended attempts that were executed or may have been executed.
    possibly_executed: u32,
    /// Time until which an attempt may still be executed, even if it was cancelled.
    busy_until: Timestamp,
}

impl PartState {
    fn on_attempt_sent(&mut self, now: Timestamp, deadline: Timestamp) {
        self.first_sent_at.get_or_insert(now);
        self.in_flight += 1;
        self.busy_until = self.busy_until.max(deadline);
    }

    fn on_attempt_ended(&mut self, now: Timestamp, evidence: ExecutionEvidence) {
        self.in_flight = self.in_flight.saturating_sub(1);
        match evidence {
            ExecutionEvidence::NotExecuted => {}
            ExecutionEvidence::Executed => {
                self.possibly_executed += 1;
                // The execution has finished by the time at which its response has arrived, so the
                // part is no longer busy, even if the deadline of the attempt has not passed.
                self.busy_until = now;
            }
            ExecutionEvidence::PossiblyExecuted => self.possibly_executed += 1,
        }
    }

    /// Returns `true` if no attempt at the part is in flight, and none may have been executed.
    fn is_certainly_not_executed(&self) -> bool {
        self.in_flight == 0 && self.possibly_executed == 0
    }

    /// Returns `true` if an attempt at the part is in flight or may still be executed.
    fn is_busy(&self, now: Timestamp) -> bool {
        self.in_flight > 0 || self.busy_until > now
    }

    /// Returns the end of the replay window, from which on the part must not be sent; `None` if no
    /// attempt was sent.
    pub(crate) fn window_ends_at(&self, window: Duration) -> Option<Timestamp> {
        self.first_sent_at.map(|sent_at| sent_at + window)
    }

    fn is_window_expired(&self, now: Timestamp, window: Duration) -> bool {
        self.window_ends_at(window)
            .is_some_and(|ends_at| now >= ends_at)
    }

    /// Returns `true` if the part may be sent at `now`: no attempt at it is in flight, and its
    /// replay window has not ended.
    pub(crate) fn may_send(&self, now: Timestamp, window: Duration) -> bool {
        self.in_flight == 0 && !self.is_window_expired(now, window)
    }
}

/// The state of one key.
#[derive(Clone, Debug, Default)]
pub(crate) struct KeyState {
    /// Deadline of the key's query, while one is in flight.
    query_deadline: Option<Timestamp>,
    /// The parts that are in flight or may have been executed, by shard.
    parts: BTreeMap<usize, PartState>,
    /// Time at which the key expires; valid only while no query is in flight.
    expires_at: Timestamp,
}

impl KeyState {
    /// Decides whether another query with this key and with parts for `shards` may be served at
    /// `now`. `window` is the length of the replay window.
    pub(crate) fn admission(
        &self,
        now: Timestamp,
        window: Duration,
        shards: impl Iterator<Item = usize>,
    ) -> KeyAdmission {
        if let Some(deadline) = self.query_deadline {
            return KeyAdmission::RetryAt(deadline);
        }
        let mut busy_until = None;
        for part in shards.filter_map(|shard| self.parts.get(&shard)) {
            if part.is_busy(now) {
                busy_until = busy_until.max(Some(part.busy_until));
            } else if part.is_window_expired(now, window) {
                return KeyAdmission::WindowExpired;
            }
        }
        busy_until.map_or(KeyAdmission::Admitted, KeyAdmission::RetryAt)
    }

    /// Records that a query with this key was admitted and that its client waits until `deadline`.
    pub(crate) fn start_query(&mut self, deadline: Timestamp) {
        self.query_deadline = Some(deadline);
    }

    /// Records that the query in flight has ended, and returns its deadline; `None` if no query was
    /// in flight.
    pub(crate) fn end_query(&mut self) -> Option<Timestamp> {
        self.query_deadline.take()
    }

    /// Returns the state of the part for a shard; `None` if the part was not sent, or if it is
    /// certain that it was not executed.
    pub(crate) fn part(&self, shard: usize) -> Option<&PartState> {
        self.parts.get(&shard)
    }

    /// Returns `true` if any part is in flight or may have been executed.
    pub(crate) fn has_parts(&self) -> bool {
        !self.parts.is_empty()
    }

    /// Records that an attempt at a part is sent. The attempt times out at `deadline`.
    pub(crate) fn on_attempt_sent(&mut self, now: Timestamp, shard: usize, deadline: Timestamp) {
        let part = self.parts.entry(shard).or_default();
        part.on_attempt_sent(now, deadline);
    }

    /// Records the end of an attempt. If no attempt at the part is in flight or may have been
    /// executed, the part's state is removed.
    pub(crate) fn on_attempt_ended(
        &mut self,
        now: Timestamp,
        shard: usize,
        evidence: ExecutionEvidence,
    ) {
        let Some(part) = self.parts.get_mut(&shard) else {
            return;
        };
        part.on_attempt_ended(now, evidence);
        if part.is_certainly_not_executed() {
            self.parts.remove(&shard);
        }
    }

    /// Returns `true` if an attempt at any part is in flight.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.parts.values().any(|part| part.in_flight > 0)
    }

    /// Returns the time at which the key expires; valid only while no query is in flight.
    pub(crate) fn expires_at(&self) -> Timestamp {
        self.expires_at
    }

    /// Sets the time at which the key expires, and returns it.
    pub(crate) fn retain_until(&mut self, expires_at: Timestamp) -> Timestamp {
        self.expires_at = expires_at;
        expires_at
    }

    /// Returns the time of the latest activity at any part; `now` if there are no parts. The latest
    /// activity at a part is the sending of its first attempt, or the last moment at which an
    /// attempt may still be executed if that is later.
    pub(crate) fn latest_activity(&self, now: Timestamp) -> Timestamp {
        let activity = |part: &PartState| part.first_sent_at.unwrap_or(now).max(part.busy_until);
        self.parts.values().map(activity).max().unwrap_or(now)
    }
}
