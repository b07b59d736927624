//! When one connection last received anything, and whether its incomplete frame still grows.

use broker_types::time::Timestamp;
use std::time::Duration;

/// Times of the latest progress in receiving on one connection.
pub(super) struct ReceiveProgress {
    /// Time at which received data was last reported.
    last_data_at: Timestamp,
    /// Time at which the incomplete frame last grew. `None` if there is no incomplete frame.
    partial_frame_grew_at: Option<Timestamp>,
}

impl ReceiveProgress {
    /// Creates the progress of a connection that starts to open at the time `now`.
    pub(super) fn new(now: Timestamp) -> Self {
        ReceiveProgress {
            last_data_at: now,
            partial_frame_grew_at: None,
        }
    }

    /// Records that received data was reported. If it ends with an incomplete frame,
    /// [`ReceiveProgress::on_partial_frame`] must be called afterwards.
    pub(super) fn on_data(&mut self, now: Timestamp) {
        self.last_data_at = now;
        self.partial_frame_grew_at = None;
    }

    /// Records that an incomplete frame has grown.
    pub(super) fn on_partial_frame(&mut self, now: Timestamp) {
        self.partial_frame_grew_at = Some(now);
    }

    /// Returns whether no data has been reported after `time`.
    pub(super) fn is_silent_since(&self, time: Timestamp) -> bool {
        self.last_data_at <= time
    }

    /// Returns the time at which the incomplete frame counts as stalled unless it grows before:
    /// `max_stall` after its last growth. Returns `None` if there is no incomplete frame.
    pub(super) fn stall_deadline(&self, max_stall: Duration) -> Option<Timestamp> {
        Some(self.partial_frame_grew_at? + max_stall)
    }

    /// Returns whether there is an incomplete frame that has not grown for `max_stall`.
    pub(super) fn is_stalled(&self, now: Timestamp, max_stall: Duration) -> bool {
        self.partial_frame_grew_at
            .is_some_and(|grew_at| now.saturating_since(grew_at) >= max_stall)
    }
}
