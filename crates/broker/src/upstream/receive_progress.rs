//! What one connection has received last, and whether an incomplete frame makes progress.

use broker_types::time::Micros;

/// When a connection last received anything.
pub(super) struct ReceiveProgress {
    /// When the socket task last reported an event.
    last_event: Micros,
    /// When an incomplete frame last grew, while there is one.
    partial_frame_since: Option<Micros>,
}

impl ReceiveProgress {
    /// The progress of a connection that begins to open now.
    pub(super) fn new(now: Micros) -> Self {
        ReceiveProgress {
            last_event: now,
            partial_frame_since: None,
        }
    }

    /// Notes that the socket task has reported an event.
    pub(super) fn on_event(&mut self, now: Micros) {
        self.last_event = now;
        self.partial_frame_since = None;
    }

    /// Notes that an incomplete frame has grown.
    pub(super) fn on_partial_frame(&mut self, now: Micros) {
        self.partial_frame_since = Some(now);
    }

    /// Whether nothing has been reported since this time.
    pub(super) fn is_silent_since(&self, time: Micros) -> bool {
        self.last_event <= time
    }

    /// When an incomplete frame will have made no progress for `timeout`, while there is one.
    pub(super) fn stalls_at(&self, timeout: Micros) -> Option<Micros> {
        Some(self.partial_frame_since? + timeout)
    }

    /// Whether an incomplete frame has made no progress for `timeout`.
    pub(super) fn is_stalled(&self, now: Micros, timeout: Micros) -> bool {
        self.partial_frame_since
            .is_some_and(|since| now.saturating_sub(since) >= timeout)
    }
}
