//! One HTTP/2 connection: drives the `h2` library and the connection's streams.
//!
//! [`Http2Connection`] owns the streams and frees them when it is dropped. When it is closed, its
//! [`ConnectionLifetime`] decides.

use super::guarded_connection::{GuardedConnection, WireEvent};
use super::lifetime::{ConnectionActivity, ConnectionLifetime, DeadlineAction};
use super::stream::{NewStream, StreamOutcome};
use crate::listeners::context::ListenerContext;
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

/// The task of one stream.
type StreamTask = Pin<Box<dyn Future<Output = StreamOutcome>>>;

/// What a connection has to react to.
enum ConnectionEvent {
    /// Something happened on the wire.
    Wire(WireEvent),
    /// A stream ended.
    StreamEnded(StreamOutcome),
    /// The phase of the broker's life has changed.
    LifecycleChanged,
    /// The connection was evicted.
    Evicted,
    /// The next deadline has passed.
    DeadlineReached,
}

/// One HTTP/2 connection with its streams.
pub(super) struct Http2Connection<'a> {
    context: &'a Rc<ListenerContext>,
    slots: &'a ConnectionSlots,
    id: ConnectionId,
    wire: Box<GuardedConnection>,
    streams: FuturesUnordered<StreamTask>,
    lifetime: ConnectionLifetime,
    timer: Timer,
}

impl<'a> Http2Connection<'a> {
    pub(super) fn new(
        context: &'a Rc<ListenerContext>,
        slots: &'a ConnectionSlots,
        id: ConnectionId,
        wire: Box<GuardedConnection>,
    ) -> Self {
        Http2Connection {
            context,
            slots,
            id,
            wire,
            streams: FuturesUnordered::new(),
            lifetime: ConnectionLifetime::new(context.clock().now()),
            timer: Timer::never(),
        }
    }

    /// Serves the connection until it is closed.
    pub(super) async fn run(&mut self) {
        loop {
            if self.context.lifecycle().phase() != Phase::Serving {
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
            ConnectionEvent::Wire(event) => return self.on_wire_event(event),
            ConnectionEvent::StreamEnded(outcome) => self.on_stream_ended(&outcome),
            // Graceful shutdown starts before the next event.
            ConnectionEvent::LifecycleChanged => {}
            ConnectionEvent::Evicted => self.start_graceful_shutdown(),
            ConnectionEvent::DeadlineReached => return self.on_deadline(),
        }
        ControlFlow::Continue(())
    }

    /// Handles an event on the wire. Breaks if the connection is closed.
    fn on_wire_event(&mut self, event: WireEvent) -> ControlFlow<()> {
        match event {
            WireEvent::StreamOpened(stream) => self.on_stream_opened(*stream),
            WireEvent::Violation(violation) => self.on_violation(violation),
            WireEvent::Closed(error) => {
                if let Some(error) = error {
                    self.log_error(&error);
                }
                return ControlFlow::Break(());
            }
        }
        ControlFlow::Continue(())
    }

    /// Starts to serve a request, or refuses it if the client has had time to receive the GOAWAY
    /// frame.
    fn on_stream_opened(&mut self, stream: NewStream) {
        let is_closing = self.context.lifecycle().phase() == Phase::Closing;
        if is_closing && !self.lifetime.is_serving() {
            stream.refuse();
            return;
        }
        let task = stream.serve(self.context.clone(), self.id);
        self.streams.push(Box::pin(task));
    }

    fn on_stream_ended(&mut self, outcome: &StreamOutcome) {
        if let Some(body_bytes) = outcome.sent_body_bytes {
            self.wire.on_response_sent(body_bytes);
        }
        if outcome.is_valid_request {
            self.lifetime.on_valid_request();
        }
        if self.streams.is_empty() {
            self.lifetime.on_idle(self.context.clock().now());
        }
    }

    fn on_violation(&mut self, violation: Violation) {
        warn!(name: "http2_flood_detected", connection = self.id.0, reason = %violation);
        self.abort(Reason::ENHANCE_YOUR_CALM);
    }

    /// Carries out what is due after a deadline. Breaks if the connection has to be dropped.
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

    /// Starts graceful shutdown, unless it has started before.
    fn start_graceful_shutdown(&mut self) {
        if self.lifetime.is_serving() {
            self.wire.shut_down_gracefully();
            self.lifetime.start_draining(self.context.clock().now());
        }
    }

    /// Closes the connection because of an error, and cancels its streams.
    fn abort(&mut self, reason: Reason) {
        self.streams.clear();
        self.close(reason);
    }

    /// Closes the connection once its last frames are written.
    fn close(&mut self, reason: Reason) {
        self.wire.shut_down_abruptly(reason);
        self.lifetime.start_closing(self.context.clock().now());
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

    fn activity(&self) -> ConnectionActivity {
        ConnectionActivity {
            open_streams: self.streams.len(),
            incomplete_since: self.wire.incomplete_since(),
        }
    }

    /// Waits for the next event, and drives the connection meanwhile.
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
        let priority = self.lifetime.eviction_priority(self.streams.len())?;
        Some(self.slots.evictable(priority))
    }

    /// Polls the streams and the socket.
    fn poll_wire(&mut self, cx: &mut Context<'_>) -> Poll<ConnectionEvent> {
        if let Poll::Ready(Some(outcome)) = self.streams.poll_next_unpin(cx) {
            return Poll::Ready(ConnectionEvent::StreamEnded(outcome));
        }
        self.wire.poll_event(cx).map(ConnectionEvent::Wire)
    }

    /// Polls the timer, set to the next deadline.
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
