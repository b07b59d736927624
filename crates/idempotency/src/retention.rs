//! The order in which keys are forgotten.

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
    pub(crate) fn insert(&mut self, retained: RetainedKey, is_answered: bool) {
        if is_answered {
            self.answered.insert(retained.clone());
        }
        self.retained.insert(retained);
    }

    /// Removes a key. Returns whether its last query was answered.
    pub(crate) fn remove(&mut self, retained: &RetainedKey) -> bool {
        self.retained.remove(retained);
        self.answered.remove(retained)
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
