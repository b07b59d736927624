//! The `h2` library's connection together with the flood guard on its input.
//!
//! [`GuardedConnection`] owns both, so that what the library decodes is never used after a
//! violation.

use super::guarded_socket::{GuardedSocket, SharedGuard};
use super::stream::NewStream;
use broker_types::time::Timestamp;
use bytes::Bytes;
use h2::{Reason, server};
use http2_flood_guard::Violation;
use std::task::{Context, Poll};

/// What happened on a connection.
pub(super) enum WireEvent {
    /// The client opened a stream.
    StreamOpened(Box<NewStream>),
    /// The flood guard reported a violation.
    Violation(Violation),
    /// The connection is closed, with an error unless that was orderly.
    Closed(Option<h2::Error>),
}

/// An HTTP/2 connection after the exchange of settings.
pub(super) struct GuardedConnection {
    h2: server::Connection<GuardedSocket, Bytes>,
    guard: SharedGuard,
    /// Whether [`Self::shut_down_abruptly`] was called.
    is_shut_down: bool,
}

impl GuardedConnection {
    pub(super) fn new(h2: server::Connection<GuardedSocket, Bytes>, guard: SharedGuard) -> Self {
        GuardedConnection {
            h2,
            guard,
            is_shut_down: false,
        }
    }

    /// Drives the connection until something happens. A violation after an abrupt shutdown is
    /// ignored.
    pub(super) fn poll_event(&mut self, cx: &mut Context<'_>) -> Poll<WireEvent> {
        let accepted = self.h2.poll_accept(cx);
        // Whatever was decoded before a violation is discarded.
        let violation = self.guard.borrow().violation();
        if let Some(violation) = violation
            && !self.is_shut_down
        {
            return Poll::Ready(WireEvent::Violation(violation));
        }
        accepted.map(|accepted| match accepted {
            Some(Ok((request, respond))) => {
                WireEvent::StreamOpened(Box::new(NewStream::new(request, respond)))
            }
            Some(Err(error)) => WireEvent::Closed(Some(error)),
            None => WireEvent::Closed(None),
        })
    }

    /// Since when the preface, a frame or a header block has been incomplete.
    pub(super) fn incomplete_since(&self) -> Option<Timestamp> {
        self.guard.borrow().incomplete_since()
    }

    /// Grants the client the control frames that it needs for a response.
    pub(super) fn on_response_sent(&mut self, body_bytes: usize) {
        self.guard.borrow_mut().on_response_sent(body_bytes);
    }

    /// Sends GOAWAY with the highest stream identifier, and after a round trip with that of the
    /// last stream that was served (RFC 9113, section 6.8).
    pub(super) fn shut_down_gracefully(&mut self) {
        self.h2.graceful_shutdown();
    }

    /// Sends GOAWAY with a reason and closes the connection.
    pub(super) fn shut_down_abruptly(&mut self, reason: Reason) {
        self.h2.abrupt_shutdown(reason);
        self.is_shut_down = true;
    }
}
