//! The assignment of an attempt to a connection.

use crate::event_queue::ServerConnectionId;
use broker_types::time::Timestamp;
use std::rc::Rc;
use std::time::Duration;

/// The assignment of an attempt to a connection.
pub(super) struct Assignment {
    connection: ServerConnectionId,
    /// Id of the attempt's part in the frames of the connection.
    wire_id: Rc<str>,
    assigned_at: Timestamp,
}

impl Assignment {
    /// Creates the assignment of an attempt to `connection`, made at the time `now`.
    pub(super) fn new(connection: ServerConnectionId, wire_id: Rc<str>, now: Timestamp) -> Self {
        Assignment {
            connection,
            wire_id,
            assigned_at: now,
        }
    }

    /// Returns the id of the connection that the attempt was assigned to.
    pub(super) fn connection(&self) -> ServerConnectionId {
        self.connection
    }

    /// Returns the id of the attempt's part in the frames of the connection.
    pub(super) fn wire_id(&self) -> &Rc<str> {
        &self.wire_id
    }

    /// Returns the time at which the attempt was assigned to the connection.
    pub(super) fn assigned_at(&self) -> Timestamp {
        self.assigned_at
    }

    /// Returns the time between the assignment and `now`.
    pub(super) fn elapsed(&self, now: Timestamp) -> Duration {
        now.saturating_since(self.assigned_at)
    }
}
