//! The parts of one connection whose responses are no longer needed but may still arrive.

use std::collections::VecDeque;

/// Most parts that are remembered. The parts of several calls may wait at a slow server, so this is
/// more than may be in flight at once.
const MAX_PARTS: usize = 256;

/// Ids on the wire of the parts that were cancelled after they had been written, the latest last.
#[derive(Default)]
pub(super) struct CancelledParts {
    wire_ids: VecDeque<String>,
}

impl CancelledParts {
    /// Whether no response to a cancelled part is expected.
    pub(super) fn is_empty(&self) -> bool {
        self.wire_ids.is_empty()
    }

    /// Remembers a part. The oldest one is forgotten if there are too many.
    pub(super) fn insert(&mut self, wire_id: String) {
        if self.wire_ids.len() >= MAX_PARTS {
            self.wire_ids.pop_front();
        }
        self.wire_ids.push_back(wire_id);
    }

    /// Forgets a part because its response has arrived. Returns whether it was remembered.
    pub(super) fn remove(&mut self, wire_id: &str) -> bool {
        let index = self.wire_ids.iter().position(|id| id == wire_id);
        index
            .and_then(|index| self.wire_ids.remove(index))
            .is_some()
    }
}
