//! The parts of one connection whose responses may still arrive.
//!
//! A response names only the id of its part. The id says which attempt the response belongs to as
//! long as it is outstanding at most once on the connection, so [`OutstandingParts`] keeps each id
//! from the assignment of its part until the response has arrived or the part was withdrawn, also
//! if the attempt was cancelled meanwhile, and accepts no other part with this id.

use super::attempt::OutgoingAttempt;
use crate::request_ids::RequestIdLease;
use broker_types::query::AttemptId;
use std::collections::BTreeMap;
use std::rc::Rc;

/// Number of cancelled parts without a response from which on the connection accepts no further
/// parts. Cancelled parts of several successive calls may still wait at a slow server, so this is
/// greater than the number of parts that may be in flight at the same time.
const MAX_CANCELLED_PARTS: usize = 256;

/// A part whose response may still arrive.
struct OutstandingPart {
    attempt: AttemptId,
    /// Whether the attempt has ended, so that the response is no longer needed.
    is_cancelled: bool,
    /// Keeps the request id in use, so that no other query has parts with the same ids.
    _request_id: RequestIdLease,
}

/// The parts of one connection whose responses may still arrive, by their ids in the frames. Their
/// number is bounded by [`MAX_CANCELLED_PARTS`] and the number of parts that may be in flight.
#[derive(Default)]
pub(super) struct OutstandingParts {
    parts: BTreeMap<Rc<str>, OutstandingPart>,
    /// Number of the parts that were cancelled.
    cancelled: usize,
}

impl OutstandingParts {
    /// Returns whether no response is outstanding.
    pub(super) fn is_empty(&self) -> bool {
        self.parts.is_empty()
    }

    /// Returns whether a response to a part with this id is outstanding.
    pub(super) fn contains(&self, wire_id: &str) -> bool {
        self.parts.contains_key(wire_id)
    }

    /// Returns the number of parts that were not cancelled.
    pub(super) fn in_flight(&self) -> usize {
        self.parts.len() - self.cancelled
    }

    /// Returns whether the maximum number of cancelled parts is reached.
    pub(super) fn has_max_cancelled(&self) -> bool {
        self.cancelled >= MAX_CANCELLED_PARTS
    }

    /// Adds the part of an attempt. Returns `false`, and adds nothing, if a part with the same id is
    /// outstanding.
    #[must_use]
    pub(super) fn try_insert(&mut self, outgoing: &OutgoingAttempt) -> bool {
        if self.contains(&outgoing.part.wire_id) {
            return false;
        }
        let part = OutstandingPart {
            attempt: outgoing.attempt,
            is_cancelled: false,
            _request_id: outgoing.request_id.clone(),
        };
        self.parts.insert(outgoing.part.wire_id.clone(), part);
        true
    }

    /// Returns the attempt at a part that was not cancelled, or `None` if there is no such part.
    pub(super) fn attempt(&self, wire_id: &str) -> Option<AttemptId> {
        let part = self.parts.get(wire_id)?;
        (!part.is_cancelled).then_some(part.attempt)
    }

    /// Returns the attempts at all parts that were not cancelled, ordered by the ids of the parts.
    pub(super) fn attempts(&self) -> impl Iterator<Item = AttemptId> {
        let in_flight = self.parts.values().filter(|part| !part.is_cancelled);
        in_flight.map(|part| part.attempt)
    }

    /// Records that the attempt at a part was cancelled after any byte of the part was written. The
    /// part stays outstanding until its response has arrived.
    pub(super) fn cancel(&mut self, wire_id: &str) {
        if let Some(part) = self.parts.get_mut(wire_id)
            && !part.is_cancelled
        {
            part.is_cancelled = true;
            self.cancelled += 1;
        }
    }

    /// Removes a part whose response has arrived or that was withdrawn. Keeps a cancelled part.
    pub(super) fn remove_in_flight(&mut self, wire_id: &str) {
        if self.attempt(wire_id).is_some() {
            self.parts.remove(wire_id);
        }
    }

    /// Removes a cancelled part whose response has arrived. Returns whether there was such a part.
    pub(super) fn remove_cancelled(&mut self, wire_id: &str) -> bool {
        let is_cancelled = |part: &OutstandingPart| part.is_cancelled;
        let is_present = self.parts.get(wire_id).is_some_and(is_cancelled);
        if is_present {
            self.parts.remove(wire_id);
            self.cancelled -= 1;
        }
        is_present
    }
}
