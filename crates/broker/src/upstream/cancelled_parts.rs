//! The parts of one connection whose responses are no longer needed but may still arrive.

use std::collections::VecDeque;

/// Maximum number of cancelled parts that are kept for one connection. Cancelled parts of several
/// successive calls may still wait at a slow server, so this is greater than the number of parts
/// that may be in flight at the same time.
const MAX_CANCELLED_PARTS: usize = 256;

/// Ids of the parts that were cancelled after they had been written, in the order of their
/// cancellation.
#[derive(Default)]
pub(super) struct CancelledParts {
    wire_ids: VecDeque<String>,
}

impl CancelledParts {
    /// Returns whether no response to a cancelled part is outstanding.
    pub(super) fn is_empty(&self) -> bool {
        self.wire_ids.is_empty()
    }

    /// Adds a part. If the maximum number of parts is reached, removes the part that was added
    /// first. A response to the removed part that still arrives counts as a violation of the
    /// protocol.
    pub(super) fn insert(&mut self, wire_id: String) {
        if self.wire_ids.len() >= MAX_CANCELLED_PARTS {
            self.wire_ids.pop_front();
        }
        self.wire_ids.push_back(wire_id);
    }

    /// Removes a part because its response has arrived. Returns whether the part was present.
    pub(super) fn remove(&mut self, wire_id: &str) -> bool {
        let index = self.wire_ids.iter().position(|id| id == wire_id);
        index
            .and_then(|index| self.wire_ids.remove(index))
            .is_some()
    }
}
