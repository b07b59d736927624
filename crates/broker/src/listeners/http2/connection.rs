//! One HTTP/2 connection: drives the `h2` library and the connection's streams.
//!
//! [`Http2Connection`] owns its streams, so dropping it cancels them. Its [`ConnectionLifetime`]
//! determines when the connection is closed.

use super::guarded_connection::{GuardedConnection, ProtocolEvent};
use super::lifetime::{ConnectionActivity, ConnectionLifetime, DeadlineAction};
use super::stream::{NewStream, StreamOutcome};
use crate::listeners::context::ListenerContext;
use crate::listeners::invalid_request_delay::InvalidRequestDelay;
use crate::listeners::lifecycle::Phase;
use crate::listeners::slots::{ConnectionSlots, Evictable};
use admission::ConnectionId;
use async_io::Timer;
use futures_util::stream::{FuturesUnordered, StreamExt};
use h2::Reason;
use http2_flood_guard::Violation;
use std::future::{Future, pending, poll_fn};
use std::ops::ControlFlow;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll};
use tracing::{debug, warn};

/// The future that serves one stream.
type StreamTask = Pin<Box<dyn Future<Output = StreamOutcome>>>;

/// An event that a connection has to handle.
enum ConnectionEvent {
    /// The client opened a stream or violated a limit, or the connection was closed.
    Protocol(ProtocolEvent),
    /// A stream ended.
    StreamEnded(StreamOutcome),
    /// The phase of the broker's lifecycle has changed.
    LifecycleChanged,
    /// The connection was evicted, so that its slot becomes free for another one.
    Evicted,
    /// The next deadline of the connection's [`ConnectionLifetime`] has passed.
    DeadlineReached,
}

/// One HTTP/2 connection with its streams.
pub(super) struct Http2Connection<'a> {
    context: &'a Rc<ListenerContext>,
    slots: &'a ConnectionSlots,
    id: ConnectionId,
    protocol: Box<GuardedConnection>,
    streams: FuturesUnordered<StreamTask>,
    lifetime: ConnectionLifetime,
    /// Shared with the connection's streams.
    delay: Rc<InvalidRequestDelay>,
    timer: Timer,
}

impl<'a> Http2Connection<'a> {
    pub(super) fn new(
        context: &'a Rc<ListenerContext>,
        slots: &'a ConnectionSlots,
        id: ConnectionId,
        protocol: Box<GuardedConnection>,
    ) -> Self {
        Http2Connection {
            context,
            slots,
            id,
            protocol,
            streams: FuturesUnordered::new(),
            lifetime: ConnectionLifetime::new(context.clock().now()),
            delay: Rc::default(),
            timer: Timer::never(),
        }
    }

    /// Serves the connection until it is closed.
    pub(super) async fn run(&mut self) {
        loop {
            if self.context.lifecycle().phase() != Phase::Serving {
                self.start_graceful_shutdown();
            }
            self.context.slice().yield_if_used_up().await;
            let event = self.next_event().await;
            if self.on_event(event).is_break() {
                return;
            }
        }
    }

    /// Handles an event. Returns [`ControlFlow::Break`] if the connection has to be dropped.
    fn on_event(&mut self, event: ConnectionEvent) -> ControlFlow<()> {
        match event {
            ConnectionEvent::Protocol(event) => return self.on_protocol_event(event),
            ConnectionEvent::StreamEnded(outcome) => self.on_stream_ended(&outcome),
            // `run` starts graceful shutdown before it waits for the next event.
            ConnectionEvent::LifecycleChanged => {}
            ConnectionEvent::Evicted => self.start_graceful_shutdown(),
            ConnectionEvent::DeadlineReached => return self.on_deadline(),
        }
        ControlFlow::Continue(())
    }

    /// Handles an event of the protocol. Returns [`ControlFlow::Break`] if the connection is
    /// closed.
    fn on_protocol_event(&mut self, event: ProtocolEvent) -> ControlFlow<()> {
        match event {
            ProtocolEvent::StreamOpened(stream) => self.on_stream_opened(*stream),
            ProtocolEvent::Violation(violation) => self.on_violation(violation),
            ProtocolEvent::Closed(error) => {
                if let Some(error) = error {
                    self.log_error(&error);
                }
                return ControlFlow::Break(());
            }
        }
        ControlFlow::Continue(())
    }

    /// Starts to serve a request. The request is refused if the broker is closing its connections
    /// and GOAWAY has been sent on this one.
    fn on_stream_opened(&mut self, stream: NewStream) {
        let is_closing = self.context.lifecycle().phase() == Phase::Closing;
        if is_closing && !self.lifetime.is_serving() {
            stream.refuse();
            return;
        }
        let task = stream.serve(self.context.clone(), self.id, self.delay.clone());
        self.streams.push(Box::pin(task));
    }

    /// Records the outcome of a stream.
    fn on_stream_ended(&mut self, outcome: &StreamOutcome) {
        if let Some(body_bytes) = outcome.sent_body_bytes {
            self.protocol.on_response_sent(body_bytes);
        }
        if outcome.is_valid_request {
            self.lifetime.on_valid_request();
        }
        if self.streams.is_empty() {
            self.lifetime.on_idle(self.context.clock().now());
        }
    }

    /// Logs a violation that the flood guard reported, and closes the connection.
    fn on_violation(&mut self, violation: Violation) {
        warn!(name: "http2_flood_detected", connection = self.id.0, reason = %violation);
        self.abort(Reason::ENHANCE_YOUR_CALM);
    }

    /// Carries out the action that is due after a deadline. Returns [`ControlFlow::Break`] if the
    /// connection has to be dropped.
    fn on_deadline(&mut self) -> ControlFlow<()> {
        let now = self.context.clock().now();
        match self.lifetime.due_action(now, self.activity()) {
            None => {}
            Some(DeadlineAction::AbortStalled) => {
                warn!(name: "http2_request_stalled", connection = self.id.0);
                self.abort(Reason::PROTOCOL_ERROR);
            }
            Some(DeadlineAction::ShutDownGracefully) => self.start_graceful_shutdown(),
            Some(DeadlineAction::Close) => self.close(Reason::NO_ERROR),
            Some(DeadlineAction::Drop) => return ControlFlow::Break(()),
        }
        ControlFlow::Continue(())
    }

    /// Sends GOAWAY and starts graceful shutdown, unless this has been done before.
    fn start_graceful_shutdown(&mut self) {
        if self.lifetime.is_serving() {
            self.protocol.shut_down_gracefully();
            self.lifetime.start_draining(self.context.clock().now());
        }
    }

    /// Cancels all streams and closes the connection. `reason` is the error that the client
    /// receives.
    fn abort(&mut self, reason: Reason) {
        self.streams.clear();
        self.close(reason);
    }

    /// Sends GOAWAY with a reason and closes the connection once its last frames are written.
    fn close(&mut self, reason: Reason) {
        self.protocol.shut_down_abruptly(reason);
        self.lifetime.start_closing(self.context.clock().now());
    }

    /// Logs the error that closed the connection. Errors of the socket are not logged.
    ///
    /// The `h2` library has flood limits of its own, for example on streams that the client resets.
    /// If the client exceeds one of them, the library closes the connection with
    /// `ENHANCE_YOUR_CALM`. This is logged as a flood, in the same way as a violation that the
    /// flood guard reports.
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

    /// Returns the number of open streams and the time since which the client's input has been
    /// incomplete. The deadlines of the connection depend on them.
    fn activity(&self) -> ConnectionActivity {
        ConnectionActivity {
            open_streams: self.streams.len(),
            incomplete_since: self.protocol.incomplete_since(),
        }
    }

    /// Drives the connection and its streams until the next event.
    async fn next_event(&mut self) -> ConnectionEvent {
        let lifecycle = self.context.lifecycle();
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
            if let Poll::Ready(event) = self.poll_protocol(cx) {
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

    /// Registers the connection as one that may be evicted, if it is idle and not shutting down.
    fn evictable(&self) -> Option<Evictable<'a>> {
        let priority = self.lifetime.eviction_priority(self.streams.len())?;
        Some(self.slots.evictable(priority))
    }

    /// Polls the streams and the `h2` library.
    fn poll_protocol(&mut self, cx: &mut Context<'_>) -> Poll<ConnectionEvent> {
        if let Poll::Ready(Some(outcome)) = self.streams.poll_next_unpin(cx) {
            return Poll::Ready(ConnectionEvent::StreamEnded(outcome));
        }
        self.protocol.poll_event(cx).map(ConnectionEvent::Protocol)
    }

    /// Sets the timer to the next deadline, if there is one, and polls it.
    fn poll_deadline(&mut self, cx: &mut Context<'_>) -> Poll<ConnectionEvent> {
        let Some(deadline) = self.lifetime.next_deadline(self.activity()) else {
            return Poll::Pending;
        };
        self.timer.set_at(self.context.clock().instant(deadline));
        Pin::new(&mut self.timer)
            .poll(cx)
            .map(|_| ConnectionEvent::DeadlineReached)
    }
}
