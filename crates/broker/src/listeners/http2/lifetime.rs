//! When an HTTP/2 connection is closed: its phase, its idle time and its deadlines.
//!
//! [`ConnectionLifetime`] decides; the connection that owns it carries out what
//! [`ConnectionLifetime::due_action`] returns.

use crate::listeners::slots::EvictionPriority;
use crate::listeners::timeouts::SILENCE_TIMEOUT;
use broker_types::time::Timestamp;
use std::time::Duration;

/// Idle timeout of a connection that has served a request. Its client keeps it for further
/// requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest time after GOAWAY that an idle connection stays open for its client to receive it.
const GRACEFUL_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for writing what remains to be sent when a connection is closed.
pub(super) const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Phase of a connection's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionPhase {
    /// Requests are served.
    Serving,
    /// GOAWAY has been sent. Requests in flight are served, and so are those that the client sent
    /// before it received the frame.
    Draining,
    /// The last frames are being written.
    Closing {
        /// When the connection is dropped at the latest.
        deadline: Timestamp,
    },
}

/// What a connection is doing, which its deadlines depend on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectionActivity {
    /// Number of open streams.
    pub(super) open_streams: usize,
    /// Since when the preface, a frame or a header block has been incomplete.
    pub(super) incomplete_since: Option<Timestamp>,
}

/// What a connection has to do because a deadline has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DeadlineAction {
    /// Abort: an incomplete frame or header block has stalled.
    AbortStalled,
    /// Start graceful shutdown: the connection has been idle for too long.
    ShutDownGracefully,
    /// Close: the client has had time to receive GOAWAY.
    Close,
    /// Drop: the last frames could not be written in time.
    Drop,
}

/// Phase and idle time of a connection.
#[derive(Debug)]
pub(super) struct ConnectionLifetime {
    phase: ConnectionPhase,
    /// When the last stream ended, or graceful shutdown started.
    idle_since: Timestamp,
    /// Whether a valid request has been served.
    has_served: bool,
}

impl ConnectionLifetime {
    /// The lifetime of a connection that is opened now.
    pub(super) fn new(now: Timestamp) -> Self {
        ConnectionLifetime {
            phase: ConnectionPhase::Serving,
            idle_since: now,
            has_served: false,
        }
    }

    /// Whether GOAWAY has not been sent yet.
    pub(super) fn is_serving(&self) -> bool {
        self.phase == ConnectionPhase::Serving
    }

    /// Records that GOAWAY is sent.
    pub(super) fn start_draining(&mut self, now: Timestamp) {
        self.phase = ConnectionPhase::Draining;
        self.idle_since = now;
    }

    /// Records that the last frames are being written.
    pub(super) fn start_closing(&mut self, now: Timestamp) {
        let deadline = now + CLOSE_TIMEOUT;
        self.phase = ConnectionPhase::Closing { deadline };
    }

    /// Records that a valid request has been served.
    pub(super) fn on_valid_request(&mut self) {
        self.has_served = true;
    }

    /// Records that no stream is open any more.
    pub(super) fn on_idle(&mut self, now: Timestamp) {
        self.idle_since = now;
    }

    /// With which priority the connection may be evicted; `None` if it is in use or draining.
    pub(super) fn eviction_priority(&self, open_streams: usize) -> Option<EvictionPriority> {
        let is_idle = open_streams == 0 && self.is_serving();
        is_idle.then_some(if self.has_served {
            EvictionPriority::Idle
        } else {
            EvictionPriority::Unused
        })
    }

    /// The next deadline, if there is one. [`Self::due_action`] has to be called when it has
    /// passed.
    pub(super) fn next_deadline(&self, activity: ConnectionActivity) -> Option<Timestamp> {
        if let ConnectionPhase::Closing { deadline } = self.phase {
            return Some(deadline);
        }
        stall_deadline(activity)
            .into_iter()
            .chain(self.idle_deadline(activity))
            .min()
    }

    /// What the connection has to do by now; `None` if no deadline has passed.
    pub(super) fn due_action(
        &self,
        now: Timestamp,
        activity: ConnectionActivity,
    ) -> Option<DeadlineAction> {
        let has_passed = |deadline: Option<Timestamp>| deadline.is_some_and(|at| now >= at);
        if !has_passed(self.next_deadline(activity)) {
            return None;
        }
        let is_stalled = has_passed(stall_deadline(activity));
        Some(match self.phase {
            ConnectionPhase::Closing { .. } => DeadlineAction::Drop,
            _ if is_stalled => DeadlineAction::AbortStalled,
            ConnectionPhase::Serving => DeadlineAction::ShutDownGracefully,
            ConnectionPhase::Draining => DeadlineAction::Close,
        })
    }

    /// When a connection without streams is closed.
    fn idle_deadline(&self, activity: ConnectionActivity) -> Option<Timestamp> {
        if activity.open_streams > 0 {
            return None;
        }
        let timeout = match self.phase {
            ConnectionPhase::Serving if self.has_served => IDLE_TIMEOUT,
            ConnectionPhase::Serving => SILENCE_TIMEOUT,
            ConnectionPhase::Draining | ConnectionPhase::Closing { .. } => {
                GRACEFUL_SHUTDOWN_TIMEOUT
            }
        };
        Some(self.idle_since + timeout)
    }
}

/// When an incomplete frame or header block has to be complete.
fn stall_deadline(activity: ConnectionActivity) -> Option<Timestamp> {
    Some(activity.incomplete_since? + SILENCE_TIMEOUT)
}

#[cfg(test)]
mod tests;
