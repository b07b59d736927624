//! The `h2` library's connection together with the flood guard on its input.
//!
//! [`GuardedConnection`] owns both. When the guard reports a violation, the connection reports the
//! violation as well, and discards the request that the library has just decoded from the same
//! input.

use super::guarded_socket::{GuardedSocket, SharedGuard};
use super::stream::NewStream;
use crate::listeners::arrival::LastArrival;
use broker_types::time::Timestamp;
use bytes::Bytes;
use h2::{Reason, server};
use http2_flood_guard::Violation;
use std::task::{Context, Poll};

/// An event that the `h2` library or the flood guard reports.
pub(super) enum ProtocolEvent {
    /// The client opened a stream.
    StreamOpened(Box<NewStream>),
    /// The flood guard reported a violation.
    Violation(Violation),
    /// The connection is closed. The error is `None` if it was closed in an orderly way.
    Closed(Option<h2::Error>),
}

/// An HTTP/2 connection on which settings have been exchanged.
pub(super) struct GuardedConnection {
    h2: server::Connection<GuardedSocket, Bytes>,
    guard: SharedGuard,
    last_arrival: LastArrival,
    /// Whether [`Self::shut_down_abruptly`] was called.
    is_shut_down: bool,
}

impl GuardedConnection {
    pub(super) fn new(
        h2: server::Connection<GuardedSocket, Bytes>,
        guard: SharedGuard,
        last_arrival: LastArrival,
    ) -> Self {
        GuardedConnection {
            h2,
            guard,
            last_arrival,
            is_shut_down: false,
        }
    }

    /// Drives the connection until the next event. A violation after an abrupt shutdown is not
    /// reported, because the connection is being closed already.
    pub(super) fn poll_event(&mut self, cx: &mut Context<'_>) -> Poll<ProtocolEvent> {
        let accepted = self.h2.poll_accept(cx);
        // A violation takes precedence over a request that the library has just decoded: the
        // request is discarded, because the connection is about to be closed.
        let violation = self.guard.borrow().violation();
        if let Some(violation) = violation
            && !self.is_shut_down
        {
            return Poll::Ready(ProtocolEvent::Violation(violation));
        }
        accepted.map(|accepted| match accepted {
            Some(Ok((request, respond))) => {
                let stream = NewStream::new(request, respond, self.last_arrival.clone());
                ProtocolEvent::StreamOpened(Box::new(stream))
            }
            Some(Err(error)) => ProtocolEvent::Closed(Some(error)),
            None => ProtocolEvent::Closed(None),
        })
    }

    /// Returns the time since which the preface, a frame or a header block has been incomplete, or
    /// `None` if none of them is.
    pub(super) fn incomplete_since(&self) -> Option<Timestamp> {
        self.guard.borrow().incomplete_since()
    }

    /// Records in the flood guard that a response with a body of `body_bytes` was sent. The guard
    /// then permits the client more control frames, because the client has to send window updates
    /// to receive a body.
    pub(super) fn on_response_sent(&mut self, body_bytes: usize) {
        self.guard.borrow_mut().on_response_sent(body_bytes);
    }

    /// Sends GOAWAY twice (RFC 9113, section 6.8): first with the highest possible stream
    /// identifier, so that streams that the client is opening are still served, and after a round
    /// trip with the identifier of the last stream that was served.
    pub(super) fn shut_down_gracefully(&mut self) {
        self.h2.graceful_shutdown();
    }

    /// Sends GOAWAY with a reason and closes the connection.
    pub(super) fn shut_down_abruptly(&mut self, reason: Reason) {
        self.h2.abrupt_shutdown(reason);
        self.is_shut_down = true;
    }
}
