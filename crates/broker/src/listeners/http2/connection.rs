//! One HTTP/2 connection: drives the `h2` library and the connection's streams.

use super::Http2Listener;
use super::guarded_socket::{GuardedSocket, SharedGuard};
use super::shutdown::ConnectionPhase;
use super::stream::{self, StreamOutcome};
use crate::listeners::lifecycle::Phase;
use crate::listeners::slots::{Evictable, EvictionPriority};
use admission::ConnectionId;
use async_io::Timer;
use broker_types::time::Timestamp;
use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use h2::server::{self, SendResponse};
use h2::{Reason, RecvStream};
use http::Request;
use http2_flood_guard::Violation;
use std::future::{Future, pending, poll_fn};
use std::ops::ControlFlow;
use std::pin::{Pin, pin};
use std::task::{Context, Poll};
use tracing::{debug, warn};

/// The task of one stream.
type StreamTask = Pin<Box<dyn Future<Output = StreamOutcome>>>;

/// A request whose head has been received, and the means to respond.
struct NewStream {
    request: Request<RecvStream>,
    respond: SendResponse<Bytes>,
}

/// What a connection has to react to.
enum ConnectionEvent {
    /// The client opened a stream.
    StreamOpened(Box<NewStream>),
    /// A stream ended.
    StreamEnded(StreamOutcome),
    /// The flood guard reported a violation.
    Violation(Violation),
    /// The phase of the broker's life has changed.
    LifecycleChanged,
    /// The connection was evicted.
    Evicted,
    /// The deadline of [`Http2Connection::next_deadline`] has passed.
    DeadlineReached,
    /// The connection is closed, with an error unless that was orderly.
    Closed(Option<h2::Error>),
}

/// One HTTP/2 connection with its streams.
pub(super) struct Http2Connection<'a> {
    pub(super) listener: &'a Http2Listener,
    pub(super) id: ConnectionId,
    pub(super) h2: server::Connection<GuardedSocket, Bytes>,
    pub(super) streams: FuturesUnordered<StreamTask>,
    pub(super) guard: SharedGuard,
    pub(super) phase: ConnectionPhase,
    /// When the last stream ended, or graceful shutdown started.
    pub(super) idle_since: Timestamp,
    /// Whether a valid request has been served.
    pub(super) has_served: bool,
    timer: Timer,
}

impl<'a> Http2Connection<'a> {
    pub(super) fn new(
        listener: &'a Http2Listener,
        id: ConnectionId,
        h2: server::Connection<GuardedSocket, Bytes>,
        guard: SharedGuard,
    ) -> Self {
        Http2Connection {
            listener,
            id,
            h2,
            streams: FuturesUnordered::new(),
            guard,
            phase: ConnectionPhase::Serving,
            idle_since: listener.clock.now(),
            has_served: false,
            timer: Timer::never(),
        }
    }

    /// Serves the connection until it is closed.
    pub(super) async fn run(&mut self) {
        loop {
            if self.listener.context.lifecycle().phase() != Phase::Serving {
                self.start_graceful_shutdown();
            }
            let event = self.next_event().await;
            if self.on_event(event).is_break() {
                return;
            }
        }
    }

    /// Handles an event. Breaks if the connection has to be dropped.
    fn on_event(&mut self, event: ConnectionEvent) -> ControlFlow<()> {
        match event {
            ConnectionEvent::StreamOpened(stream) => self.on_stream_opened(*stream),
            ConnectionEvent::StreamEnded(outcome) => self.on_stream_ended(outcome),
            ConnectionEvent::Violation(violation) => {
                warn!(name: "http2_flood_detected", connection = self.id.0, reason = %violation);
                self.abort(Reason::ENHANCE_YOUR_CALM);
            }
            // Graceful shutdown starts before the next event.
            ConnectionEvent::LifecycleChanged => {}
            ConnectionEvent::Evicted => self.start_graceful_shutdown(),
            ConnectionEvent::DeadlineReached => return self.on_deadline(),
            ConnectionEvent::Closed(error) => {
                if let Some(error) = error {
                    self.log_error(&error);
                }
                return ControlFlow::Break(());
            }
        }
        ControlFlow::Continue(())
    }

    /// Starts to serve a request, or rejects it if the client has had time to receive the GOAWAY frame.
    fn on_stream_opened(&mut self, stream: NewStream) {
        let NewStream {
            request,
            mut respond,
        } = stream;
        let context = &self.listener.context;
        let is_closing = context.lifecycle().phase() == Phase::Closing;
        if is_closing && self.phase != ConnectionPhase::Serving {
            respond.send_reset(Reason::REFUSED_STREAM);
            return;
        }
        let task = stream::serve(context.clone(), self.id, request, respond);
        self.streams.push(Box::pin(task));
    }

    fn on_stream_ended(&mut self, outcome: StreamOutcome) {
        if let Some(body_bytes) = outcome.sent_body_bytes {
            self.guard.borrow_mut().on_response_sent(body_bytes);
        }
        self.has_served |= outcome.is_valid_request;
        if self.streams.is_empty() {
            self.idle_since = self.listener.clock.now();
        }
    }

    /// Logs the error that closed the connection, except for those of the socket.
    fn log_error(&self, error: &h2::Error) {
        if error.is_io() {
            return;
        }
        if error.reason() == Some(Reason::ENHANCE_YOUR_CALM) {
            warn!(name: "http2_flood_detected", connection = self.id.0, reason = %error);
        } else {
            debug!(name: "http2_connection_failed", connection = self.id.0, error = %error);
        }
    }

    /// Waits for the next event, and drives the connection meanwhile.
    async fn next_event(&mut self) -> ConnectionEvent {
        let lifecycle = self.listener.context.lifecycle();
        let phase = lifecycle.phase();
        let mut phase_changed = pin!(lifecycle.phase_changed());
        let evictable = self.evictable();
        let mut evicted = pin!(async {
            match &evictable {
                Some(evictable) => evictable.evicted().await,
                None => pending().await,
            }
        });
        poll_fn(|cx| {
            if let Poll::Ready(event) = self.poll_wire(cx) {
                return Poll::Ready(event);
            }
            let has_changed = lifecycle.phase() != phase;
            if has_changed || phase_changed.as_mut().poll(cx).is_ready() {
                return Poll::Ready(ConnectionEvent::LifecycleChanged);
            }
            if evicted.as_mut().poll(cx).is_ready() {
                return Poll::Ready(ConnectionEvent::Evicted);
            }
            self.poll_deadline(cx)
        })
        .await
    }

    /// Allows the connection to be evicted if it is idle.
    fn evictable(&self) -> Option<Evictable<'a>> {
        let priority = if self.has_served {
            EvictionPriority::Idle
        } else {
            EvictionPriority::Unused
        };
        let is_idle = self.streams.is_empty() && self.phase == ConnectionPhase::Serving;
        is_idle.then(|| self.listener.slots.evictable(priority))
    }

    /// Polls the streams and the socket.
    fn poll_wire(&mut self, cx: &mut Context<'_>) -> Poll<ConnectionEvent> {
        if let Poll::Ready(Some(outcome)) = self.streams.poll_next_unpin(cx) {
            return Poll::Ready(ConnectionEvent::StreamEnded(outcome));
        }
        let accepted = self.h2.poll_accept(cx);
        // Whatever was decoded before a violation is discarded.
        let violation = self.guard.borrow().violation();
        let is_closing = matches!(self.phase, ConnectionPhase::Closing { .. });
        if let Some(violation) = violation
            && !is_closing
        {
            return Poll::Ready(ConnectionEvent::Violation(violation));
        }
        accepted.map(|accepted| match accepted {
            Some(Ok((request, respond))) => {
                ConnectionEvent::StreamOpened(Box::new(NewStream { request, respond }))
            }
            Some(Err(error)) => ConnectionEvent::Closed(Some(error)),
            None => ConnectionEvent::Closed(None),
        })
    }

    /// Polls the timer, set to the next deadline.
    fn poll_deadline(&mut self, cx: &mut Context<'_>) -> Poll<ConnectionEvent> {
        let Some(deadline) = self.next_deadline() else {
            return Poll::Pending;
        };
        self.timer.set_at(self.listener.clock.instant(deadline));
        Pin::new(&mut self.timer)
            .poll(cx)
            .map(|_| ConnectionEvent::DeadlineReached)
    }
}
