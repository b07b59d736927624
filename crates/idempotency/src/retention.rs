//! The queue of keys without a query in flight, in the order in which they expire.

use crate::query_end::QueryEnd;
use broker_types::time::Timestamp;
use std::collections::BTreeSet;
use std::rc::Rc;

/// A key without a query in flight, and the time at which it expires.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RetainedKey {
    pub(crate) expires_at: Timestamp,
    pub(crate) key: Rc<str>,
}

/// The keys without a query in flight, ordered by the time at which they expire.
#[derive(Debug, Default)]
pub(crate) struct RetentionQueue {
    retained: BTreeSet<RetainedKey>,
    /// The subset of `retained` whose last query was answered. Their clients have no reason to
    /// retry, so that these keys may be removed before they expire.
    answered: BTreeSet<RetainedKey>,
}

impl RetentionQueue {
    /// Inserts a key whose last query ended as `end` says.
    pub(crate) fn insert(&mut self, retained: RetainedKey, end: QueryEnd) {
        if end == QueryEnd::Answered {
            self.answered.insert(retained.clone());
        }
        self.retained.insert(retained);
    }

    /// Removes a key, and returns how its last query ended. A key that is not in the queue counts
    /// as [`QueryEnd::Unanswered`].
    pub(crate) fn remove(&mut self, retained: &RetainedKey) -> QueryEnd {
        self.retained.remove(retained);
        if self.answered.remove(retained) {
            QueryEnd::Answered
        } else {
            QueryEnd::Unanswered
        }
    }

    /// Removes and returns the first key to expire of those whose last query was answered; `None`
    /// if there is none.
    pub(crate) fn pop_answered(&mut self) -> Option<RetainedKey> {
        let evicted = self.answered.pop_first()?;
        self.retained.remove(&evicted);
        Some(evicted)
    }

    /// Returns the earliest time at which any key expires; `None` if the queue is empty.
    pub(crate) fn earliest_expiry(&self) -> Option<Timestamp> {
        self.retained.first().map(|first| first.expires_at)
    }

    /// Returns the first key in the queue if it has expired at `now`.
    pub(crate) fn first_expired(&self, now: Timestamp) -> Option<&RetainedKey> {
        self.retained
            .first()
            .filter(|first| first.expires_at <= now)
    }
}
