//! Accepts connections for all versions of HTTP. A connection that gets a slot is served by a task
//! of its own; any other is rejected.

use super::arrival::{Arrival, Backlog};
use super::slots::{ConnectionSlots, Slot};
use crate::executor::Executor;
use crate::net::{LINGER, linger};
use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::net::{TcpListener, TcpStream};
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::warn;

/// Delay after a failed accept. The usual cause is that file descriptors have run out, so that an
/// immediate retry would fail as well.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Serves the connections of one listener.
pub(super) trait ConnectionHandler: 'static {
    /// Returns the listener's connection slots.
    fn slots(&self) -> &Rc<ConnectionSlots>;

    /// Serves a connection until it is closed. `arrival` states when the connection arrived, and
    /// with it the first bytes that it holds.
    fn serve(
        self: Rc<Self>,
        stream: Async<TcpStream>,
        arrival: Arrival,
        slot: Slot,
    ) -> impl Future<Output = ()>;

    /// Sends a response to a client whose connection gets no slot, if the version of HTTP allows a
    /// response at this point. Does not wait until the socket is writable: whatever the socket does
    /// not accept immediately is not sent.
    fn reject(&self, stream: &Async<TcpStream>);
}

/// An accepted connection that has no slot yet. If it is dropped before [`Self::start`] is called,
/// the connection is rejected. This includes the case that the accepting task is cancelled while
/// the connection waits for a slot.
struct AcceptedConnection<'a, H: ConnectionHandler> {
    handler: &'a Rc<H>,
    executor: &'a Executor,
    /// `None` once the connection is served.
    stream: Option<Async<TcpStream>>,
    arrival: Arrival,
}

impl<'a, H: ConnectionHandler> AcceptedConnection<'a, H> {
    fn new(handler: &'a Rc<H>, executor: &'a Executor, accepted: AcceptedStream) -> Self {
        AcceptedConnection {
            handler,
            executor,
            stream: Some(accepted.stream),
            arrival: accepted.arrival,
        }
    }

    /// Starts a task that serves the connection.
    fn start(mut self, slot: Slot) {
        if let Some(stream) = self.stream.take() {
            let handler = self.handler.clone();
            self.executor
                .spawn_connection(handler.serve(stream, self.arrival, slot));
        }
    }
}

impl<H: ConnectionHandler> Drop for AcceptedConnection<'_, H> {
    fn drop(&mut self) {
        let Some(stream) = self.stream.take() else {
            return;
        };
        self.handler.reject(&stream);
        // Closing the socket with unread data would reset the connection, and the client would lose
        // the response. The connection therefore lingers, unless too many already do so without a
        // slot.
        if let Some(closing) = self.handler.slots().try_close_without_slot() {
            let linger = async move {
                let _ = linger(&stream, LINGER).await;
                drop(closing);
            };
            self.executor.spawn_connection(linger);
        }
    }
}

/// A listening socket.
pub(super) struct ListeningSocket {
    socket: Async<TcpListener>,
    backlog: RefCell<Backlog>,
}

/// A connection that was taken from the backlog.
struct AcceptedStream {
    stream: Async<TcpStream>,
    arrival: Arrival,
}

impl ListeningSocket {
    /// Takes over a listening socket that has just been opened.
    pub(super) fn new(socket: Async<TcpListener>) -> Self {
        ListeningSocket {
            socket,
            backlog: RefCell::new(Backlog::new(Instant::now())),
        }
    }

    /// Waits for a connection and accepts it.
    async fn accept(&self) -> io::Result<AcceptedStream> {
        let mut accept = pin!(self.socket.accept());
        let (stream, _) = poll_fn(|cx| {
            let accepted = accept.as_mut().poll(cx);
            if accepted.is_pending() {
                self.backlog.borrow_mut().on_empty();
            }
            accepted
        })
        .await?;
        Ok(self.accepted(stream))
    }

    /// Accepts a connection from the backlog. Returns `None` if there is none, and if the
    /// connection cannot be accepted.
    fn try_accept(&self) -> Option<AcceptedStream> {
        let (stream, _) = self.socket.get_ref().accept().ok()?;
        Some(self.accepted(Async::new(stream).ok()?))
    }

    fn accepted(&self, stream: Async<TcpStream>) -> AcceptedStream {
        let accepted_at = Instant::now();
        let arrived_at = self.backlog.borrow_mut().on_accepted(accepted_at);
        let arrival = Arrival {
            arrived_at,
            accepted_at,
            delayed_until: None,
        };
        AcceptedStream { stream, arrival }
    }
}

/// Accepts connections until the task is cancelled.
pub(super) async fn accept_connections<H: ConnectionHandler>(
    handler: Rc<H>,
    socket: Rc<ListeningSocket>,
    executor: Rc<Executor>,
) {
    loop {
        match socket.accept().await {
            Ok(accepted) => {
                let arrived_at = accepted.arrival.arrived_at;
                let connection = AcceptedConnection::new(&handler, &executor, accepted);
                if let Some(slot) = handler.slots().wait_for_slot(arrived_at).await {
                    connection.start(slot);
                }
            }
            Err(error) => {
                warn!(name: "accept_failed", error = %error);
                Timer::after(ACCEPT_BACKOFF).await;
            }
        }
        // All connections are served by one thread. Without this, it would serve no open connection
        // while new ones keep arriving.
        yield_now().await;
    }
}

/// Accepts the connections in the socket's backlog, because their clients regard them as
/// established and may have sent requests already. Does not wait for further connections or for
/// slots: a connection for which no slot is free is rejected.
pub(super) fn accept_backlog<H: ConnectionHandler>(
    handler: &Rc<H>,
    socket: &ListeningSocket,
    executor: &Executor,
) {
    while let Some(accepted) = socket.try_accept() {
        let connection = AcceptedConnection::new(handler, executor, accepted);
        if let Some(slot) = handler.slots().try_take() {
            connection.start(slot);
        }
    }
}
