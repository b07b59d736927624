//! Accepts connections for all versions of HTTP. A connection that gets a slot is served by a task
//! of its own; any other is rejected.

use super::slots::{ConnectionSlots, Slot};
use crate::net::{LINGER, linger};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// Delay after a failed accept. The usual cause is that file descriptors have run out, so that an
/// immediate retry would fail as well.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Serves the connections of one listener.
pub(super) trait ConnectionHandler: 'static {
    /// Returns the listener's connection slots.
    fn slots(&self) -> &Rc<ConnectionSlots>;

    /// Serves a connection until it is closed.
    fn serve(self: Rc<Self>, stream: Async<TcpStream>, slot: Slot) -> impl Future<Output = ()>;

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
    executor: &'a LocalExecutor<'static>,
    /// `None` once the connection is served.
    stream: Option<Async<TcpStream>>,
}

impl<H: ConnectionHandler> AcceptedConnection<'_, H> {
    /// Starts a task that serves the connection.
    fn start(mut self, slot: Slot) {
        if let Some(stream) = self.stream.take() {
            self.executor
                .spawn(self.handler.clone().serve(stream, slot))
                .detach();
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
            self.executor.spawn(linger).detach();
        }
    }
}

/// Accepts connections until the task is cancelled.
pub(super) async fn accept_connections<H: ConnectionHandler>(
    handler: Rc<H>,
    socket: Rc<Async<TcpListener>>,
    executor: Rc<LocalExecutor<'static>>,
) {
    loop {
        match socket.accept().await {
            Ok((stream, _)) => {
                let connection = AcceptedConnection {
                    handler: &handler,
                    executor: &executor,
                    stream: Some(stream),
                };
                if let Some(slot) = handler.slots().wait_for_slot().await {
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
    socket: &Async<TcpListener>,
    executor: &LocalExecutor<'static>,
) {
    while let Ok((stream, _)) = socket.get_ref().accept()
        && let Ok(stream) = Async::new(stream)
    {
        let connection = AcceptedConnection {
            handler,
            executor,
            stream: Some(stream),
        };
        if let Some(slot) = handler.slots().try_take() {
            connection.start(slot);
        }
    }
}
