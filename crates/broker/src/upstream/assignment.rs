//! The place of an attempt on a connection.

use crate::event_queue::ServerConnectionId;
use broker_types::time::Timestamp;
use std::time::Duration;

/// The place of an attempt on the connection that it was assigned to.
pub(super) struct Assignment {
    connection: ServerConnectionId,
    /// Id of the attempt's part on the wire.
    wire_id: String,
    assigned_at: Timestamp,
}

impl Assignment {
    /// The assignment of an attempt to a connection now.
    pub(super) fn new(connection: ServerConnectionId, wire_id: String, now: Timestamp) -> Self {
        Assignment {
            connection,
            wire_id,
            assigned_at: now,
        }
    }

    /// The connection.
    pub(super) fn connection(&self) -> ServerConnectionId {
        self.connection
    }

    /// Id of the attempt's part on the wire.
    pub(super) fn wire_id(&self) -> &str {
        &self.wire_id
    }

    /// When the attempt was assigned to the connection.
    pub(super) fn assigned_at(&self) -> Timestamp {
        self.assigned_at
    }

    /// Time since the attempt was assigned to the connection.
    pub(super) fn elapsed(&self, now: Timestamp) -> Duration {
        now.saturating_since(self.assigned_at)
    }
}
