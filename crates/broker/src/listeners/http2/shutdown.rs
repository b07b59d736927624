//! How an HTTP/2 connection is closed: deadlines, graceful shutdown and abort.

use super::connection::Http2Connection;
use crate::listeners::timeouts::SILENCE_TIMEOUT;
use broker_types::time::Timestamp;
use h2::Reason;
use std::ops::ControlFlow;
use std::time::Duration;
use tracing::warn;

/// Idle timeout of a connection that has served a request. Its client keeps it for further requests.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Longest time after GOAWAY that an idle connection stays open for its client to receive it.
const GRACEFUL_SHUTDOWN_TIMEOUT: Duration = Duration::from_secs(1);
/// Longest time for writing what remains to be sent when a connection is closed.
pub(super) const CLOSE_TIMEOUT: Duration = Duration::from_millis(500);

/// Phase of a connection's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ConnectionPhase {
    /// Requests are served.
    Serving,
    /// GOAWAY has been sent. Requests in flight are served, and so are those that the client sent before it received
    /// the frame.
    Draining,
    /// The last frames are being written.
    Closing {
        /// When the connection is dropped at the latest.
        deadline: Timestamp,
    },
}

impl Http2Connection<'_> {
    /// Starts graceful shutdown (RFC 9113, section 6.8): sends GOAWAY with the highest stream identifier, and after a
    /// round trip with that of the last stream that was served.
    pub(super) fn start_graceful_shutdown(&mut self) {
        if self.phase == ConnectionPhase::Serving {
            self.h2.graceful_shutdown();
            self.phase = ConnectionPhase::Draining;
            self.idle_since = self.listener.clock.now();
        }
    }

    /// Closes the connection because of an error, and cancels its streams.
    pub(super) fn abort(&mut self, reason: Reason) {
        self.h2.abrupt_shutdown(reason);
        self.streams.clear();
        self.start_closing();
    }

    /// The next deadline, if there is one. [`Self::on_deadline`] has to be called when it has passed.
    pub(super) fn next_deadline(&self) -> Option<Timestamp> {
        if let ConnectionPhase::Closing { deadline } = self.phase {
            return Some(deadline);
        }
        self.stall_deadline()
            .into_iter()
            .chain(self.idle_deadline())
            .min()
    }

    /// Closes the connection if a deadline has passed. Breaks if it has to be dropped.
    pub(super) fn on_deadline(&mut self) -> ControlFlow<()> {
        let now = self.listener.clock.now();
        let has_passed = |deadline: Option<Timestamp>| deadline.is_some_and(|at| now >= at);
        if !has_passed(self.next_deadline()) {
            return ControlFlow::Continue(());
        }
        let is_stalled = has_passed(self.stall_deadline());
        match self.phase {
            ConnectionPhase::Closing { .. } => return ControlFlow::Break(()),
            _ if is_stalled => {
                warn!(name: "http2_request_stalled", connection = self.id.0);
                self.abort(Reason::PROTOCOL_ERROR);
            }
            ConnectionPhase::Serving => self.start_graceful_shutdown(),
            ConnectionPhase::Draining => {
                self.h2.abrupt_shutdown(Reason::NO_ERROR);
                self.start_closing();
            }
        }
        ControlFlow::Continue(())
    }

    fn start_closing(&mut self) {
        let deadline = self.listener.clock.now() + CLOSE_TIMEOUT;
        self.phase = ConnectionPhase::Closing { deadline };
    }

    /// When an incomplete frame or header block has to be complete.
    fn stall_deadline(&self) -> Option<Timestamp> {
        let incomplete_since = self.guard.borrow().incomplete_since()?;
        Some(incomplete_since + SILENCE_TIMEOUT)
    }

    /// When a connection without streams is closed.
    fn idle_deadline(&self) -> Option<Timestamp> {
        if !self.streams.is_empty() {
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
