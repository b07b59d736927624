//! Table of the attempts in flight, including those of queries that have ended.

use super::InFlightAttempt;
use crate::api::PartId;
use crate::fleet::ServerIndex;
use std::collections::BTreeMap;

/// Which attempt of which part.
#[derive(PartialEq, Eq, PartialOrd, Ord)]
struct AttemptKey {
    part: PartId,
    number: u32,
}

/// The attempts in flight, by part and number.
#[derive(Default)]
pub(crate) struct AttemptTable(BTreeMap<AttemptKey, InFlightAttempt>);

impl AttemptTable {
    /// Adds an attempt that is sent.
    pub(crate) fn insert(&mut self, part: PartId, number: u32, attempt: InFlightAttempt) {
        self.0.insert(AttemptKey { part, number }, attempt);
    }

    /// Removes and returns an attempt that has ended.
    pub(crate) fn remove(&mut self, part: &PartId, number: u32) -> Option<InFlightAttempt> {
        let part = part.clone();
        self.0.remove(&AttemptKey { part, number })
    }

    /// Servers of all attempts.
    pub(crate) fn servers(&self) -> impl Iterator<Item = ServerIndex> {
        self.0.values().map(|attempt| attempt.server)
    }
}
