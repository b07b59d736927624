//! Table of the attempts in flight, including those of queries that have ended.

use super::InFlightAttempt;
use crate::api::PartId;
use crate::fleet::ServerIndex;
use std::collections::BTreeMap;

/// Key of an attempt: its part, and its number, which is its index among the attempts of that part.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct AttemptKey {
    part: PartId,
    number: u32,
}

/// The attempts in flight, by part and attempt number.
#[derive(Default)]
pub(crate) struct AttemptTable(BTreeMap<AttemptKey, InFlightAttempt>);

impl AttemptTable {
    /// Adds an attempt that is being sent.
    pub(crate) fn insert(&mut self, part: PartId, number: u32, attempt: InFlightAttempt) {
        self.0.insert(AttemptKey { part, number }, attempt);
    }

    /// Removes an attempt that has ended, and returns it; `None` if it is not in flight.
    pub(crate) fn remove(&mut self, part: &PartId, number: u32) -> Option<InFlightAttempt> {
        let part = part.clone();
        self.0.remove(&AttemptKey { part, number })
    }

    /// Returns the server of each attempt in flight, with repetitions.
    pub(crate) fn servers(&self) -> impl Iterator<Item = ServerIndex> {
        self.0.values().map(|attempt| attempt.server)
    }
}
