//! The order in which keys are forgotten.

use crate::query_end::QueryEnd;
use broker_types::time::Timestamp;
use std::collections::BTreeSet;
use std::rc::Rc;

/// A key without a query in flight, and the time at which it may be forgotten.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct RetainedKey {
    pub(crate) forget_at: Timestamp,
    pub(crate) key: Rc<str>,
}

/// The keys without a query in flight, in the order of the time at which they may be forgotten.
#[derive(Debug, Default)]
pub(crate) struct RetentionQueue {
    retained: BTreeSet<RetainedKey>,
    /// Those of them whose last query was answered: its client has no reason to send it again.
    answered: BTreeSet<RetainedKey>,
}

impl RetentionQueue {
    /// Inserts a key whose last query ended like this.
    pub(crate) fn insert(&mut self, retained: RetainedKey, end: QueryEnd) {
        if end == QueryEnd::Answered {
            self.answered.insert(retained.clone());
        }
        self.retained.insert(retained);
    }

    /// Removes a key, and returns how its last query ended.
    pub(crate) fn remove(&mut self, retained: &RetainedKey) -> QueryEnd {
        self.retained.remove(retained);
        if self.answered.remove(retained) {
            QueryEnd::Answered
        } else {
            QueryEnd::Unanswered
        }
    }

    /// Removes the first key whose query was answered.
    pub(crate) fn pop_answered(&mut self) -> Option<RetainedKey> {
        let evicted = self.answered.pop_first()?;
        self.retained.remove(&evicted);
        Some(evicted)
    }

    /// The first time at which a key may be forgotten.
    pub(crate) fn earliest(&self) -> Option<Timestamp> {
        self.retained.first().map(|first| first.forget_at)
    }

    /// The first key, where it may be forgotten now.
    pub(crate) fn first_expired(&self, now: Timestamp) -> Option<&RetainedKey> {
        self.retained.first().filter(|first| first.forget_at <= now)
    }
}
