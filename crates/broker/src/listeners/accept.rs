//! Accepting connections, for every version of HTTP. A connection that gets a slot is served by a
//! task of its own; any other is rejected.

use super::slots::{ConnectionSlots, Slot};
use crate::net::{LINGER, linger};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::future::yield_now;
use std::net::{TcpListener, TcpStream};
use std::rc::Rc;
use std::time::Duration;
use tracing::warn;

/// Backoff after a failed accept. The usual cause is that file descriptors have run out.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(20);

/// Serves the connections of one listener.
pub(super) trait ConnectionHandler: 'static {
    /// The listener's connection slots.
    fn slots(&self) -> &Rc<ConnectionSlots>;

    /// Serves a connection until it is closed.
    fn serve(self: Rc<Self>, stream: Async<TcpStream>, slot: Slot) -> impl Future<Output = ()>;

    /// Notifies a client, without waiting, that there is no slot for its connection.
    fn reject(&self, stream: &Async<TcpStream>);
}

/// An accepted connection that has no slot yet. Dropped without one, also where the accepting task
/// is cancelled, it rejects its client.
struct AcceptedConnection<'a, H: ConnectionHandler> {
    handler: &'a Rc<H>,
    executor: &'a LocalExecutor<'static>,
    stream: Option<Async<TcpStream>>,
}

impl<H: ConnectionHandler> AcceptedConnection<'_, H> {
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
        // Closing with unread data would reset the connection, and the client would lose the
        // response.
        if let Some(closing) = self.handler.slots().close_outside_slots() {
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
        // A connection flood must not keep the only thread from serving open connections.
        yield_now().await;
    }
}

/// Accepts the connections of the socket's backlog, whose clients may have sent requests already.
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
