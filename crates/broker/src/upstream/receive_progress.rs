//! What one connection has received last, and whether an incomplete frame makes progress.

use broker_types::time::Timestamp;
use std::time::Duration;

/// When a connection last received anything.
pub(super) struct ReceiveProgress {
    /// When the socket task last reported an event.
    last_event: Timestamp,
    /// When an incomplete frame last grew, while there is one.
    partial_frame_since: Option<Timestamp>,
}

impl ReceiveProgress {
    /// The progress of a connection that begins to open now.
    pub(super) fn new(now: Timestamp) -> Self {
        ReceiveProgress {
            last_event: now,
            partial_frame_since: None,
        }
    }

    /// Notes that the socket task has reported an event.
    pub(super) fn on_event(&mut self, now: Timestamp) {
        self.last_event = now;
        self.partial_frame_since = None;
    }

    /// Notes that an incomplete frame has grown.
    pub(super) fn on_partial_frame(&mut self, now: Timestamp) {
        self.partial_frame_since = Some(now);
    }

    /// Whether nothing has been reported since this time.
    pub(super) fn is_silent_since(&self, time: Timestamp) -> bool {
        self.last_event <= time
    }

    /// When an incomplete frame will have made no progress for `timeout`, while there is one.
    pub(super) fn stalls_at(&self, timeout: Duration) -> Option<Timestamp> {
        Some(self.partial_frame_since? + timeout)
    }

    /// Whether an incomplete frame has made no progress for `timeout`.
    pub(super) fn is_stalled(&self, now: Timestamp, timeout: Duration) -> bool {
        self.partial_frame_since
            .is_some_and(|since| now.saturating_since(since) >= timeout)
    }
}
