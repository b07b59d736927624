//! Determines when an HTTP/2 connection is closed, by its phase, its idle time and its deadlines.
//!
//! [`ConnectionLifetime`] only computes deadlines and the actions that are due. The connection that
//! owns it carries out what [`ConnectionLifetime::due_action`] returns.

use crate::listeners::slots::EvictionPriority;
use crate::listeners::timeouts::RECEIVE_TIMEOUT;
use broker_types::time::Timestamp;
use std::time::Duration;

/// Idle timeout of a connection that has served a valid request. Clients of HTTP/2 keep a
/// connection open for further requests. Before the first valid request, the shorter
/// [`RECEIVE_TIMEOUT`] applies.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Maximum time for which a connection without open streams stays open after GOAWAY was sent or its
/// last stream ended, whichever is later. It gives the client time to receive the frame.
const GRACEFUL_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum time for writing the remaining frames or bytes when a connection is closed.
pub(super) const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Phase of a connection's lifecycle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionPhase {
    /// Requests are served, and GOAWAY has not been sent.
    Serving,
    /// GOAWAY has been sent. Requests in flight are served, and so are requests that the client
    /// sent before it received the frame.
    Draining,
    /// The last frames are being written.
    Closing {
        /// Time at which the connection is dropped even if frames have not been written.
        deadline: Timestamp,
    },
}

/// The open streams and the incomplete input of a connection. The connection's deadlines depend on
/// them and on its [`ConnectionLifetime`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ConnectionActivity {
    /// Number of open streams.
    pub(super) open_streams: usize,
    /// Time since which the preface, a frame or a header block has been incomplete; `None` if none
    /// of them is.
    pub(super) incomplete_since: Option<Timestamp>,
}

/// Action that a connection has to carry out because a deadline has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum DeadlineAction {
    /// Cancel the streams and close the connection, because the rest of a frame or header block has
    /// not arrived in time.
    AbortStalled,
    /// Start graceful shutdown, because the idle timeout has passed.
    ShutDownGracefully,
    /// Write the last frames and then close the connection, because the client has had time to
    /// receive GOAWAY.
    Close,
    /// Drop the connection with frames that have not been written, because they could not be
    /// written in time.
    Drop,
}

/// Phase and idle time of a connection.
#[derive(Debug)]
pub(super) struct ConnectionLifetime {
    phase: ConnectionPhase,
    /// When the last stream ended or graceful shutdown started, whichever is later; before both,
    /// when the connection was opened.
    idle_since: Timestamp,
    /// Whether a valid request has been served.
    has_served: bool,
}

impl ConnectionLifetime {
    /// Creates the lifetime of a connection that is opened at `now`.
    pub(super) fn new(now: Timestamp) -> Self {
        ConnectionLifetime {
            phase: ConnectionPhase::Serving,
            idle_since: now,
            has_served: false,
        }
    }

    /// Returns `true` as long as GOAWAY has not been sent.
    pub(super) fn is_serving(&self) -> bool {
        self.phase == ConnectionPhase::Serving
    }

    /// Records that GOAWAY is sent, which starts graceful shutdown.
    pub(super) fn start_draining(&mut self, now: Timestamp) {
        self.phase = ConnectionPhase::Draining;
        self.idle_since = now;
    }

    /// Records that the connection is being closed, and sets the deadline for writing its last
    /// frames.
    pub(super) fn start_closing(&mut self, now: Timestamp) {
        let deadline = now + CLOSE_TIMEOUT;
        self.phase = ConnectionPhase::Closing { deadline };
    }

    /// Records that a valid request has been served.
    pub(super) fn on_valid_request(&mut self) {
        self.has_served = true;
    }

    /// Records that the last open stream has ended.
    pub(super) fn on_idle(&mut self, now: Timestamp) {
        self.idle_since = now;
    }

    /// Returns the priority with which the connection may be evicted, or `None` if it may not: it
    /// has open streams, or GOAWAY has been sent.
    pub(super) fn eviction_priority(&self, open_streams: usize) -> Option<EvictionPriority> {
        let is_idle = open_streams == 0 && self.is_serving();
        is_idle.then_some(if self.has_served {
            EvictionPriority::Idle
        } else {
            EvictionPriority::Unused
        })
    }

    /// Returns the next deadline, if there is one. [`Self::due_action`] has to be called when it
    /// has passed.
    pub(super) fn next_deadline(&self, activity: ConnectionActivity) -> Option<Timestamp> {
        if let ConnectionPhase::Closing { deadline } = self.phase {
            return Some(deadline);
        }
        stall_deadline(activity)
            .into_iter()
            .chain(self.idle_deadline(activity))
            .min()
    }

    /// Returns the action that is due at `now`, or `None` if no deadline has passed.
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

    /// Returns when a connection without open streams starts graceful shutdown or, if GOAWAY has
    /// been sent, is closed. Returns `None` while streams are open.
    fn idle_deadline(&self, activity: ConnectionActivity) -> Option<Timestamp> {
        if activity.open_streams > 0 {
            return None;
        }
        let timeout = match self.phase {
            ConnectionPhase::Serving if self.has_served => IDLE_TIMEOUT,
            ConnectionPhase::Serving => RECEIVE_TIMEOUT,
            ConnectionPhase::Draining | ConnectionPhase::Closing { .. } => {
                GRACEFUL_SHUTDOWN_TIMEOUT
            }
        };
        Some(self.idle_since + timeout)
    }
}

/// Returns the time by which an incomplete frame or header block has to be complete, or `None` if
/// none is incomplete.
fn stall_deadline(activity: ConnectionActivity) -> Option<Timestamp> {
    Some(activity.incomplete_since? + RECEIVE_TIMEOUT)
}

#[cfg(test)]
mod tests;
