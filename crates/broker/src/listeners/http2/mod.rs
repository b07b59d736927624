//! The listener for HTTP/2 (RFC 9113) without TLS, by prior knowledge.
//!
//! Each connection is driven by one task, which also drives all of its streams, so that they end
//! with the connection. `admission` computes the limits of connections, `http2_flood_guard` detects
//! floods, and the `h2` library implements framing, flow control and header compression.

mod connection;
mod guarded_connection;
mod guarded_socket;
mod handshake;
mod lifetime;
mod request_body;
mod stream;

use super::accept::ConnectionHandler;
use super::arrival::Arrival;
use super::context::ListenerContext;
use super::slots::{ConnectionSlots, Slot};
use crate::net::{LINGER, linger};
use admission::ConnectionId;
use admission::resource_limits::Http2Limits;
use async_io::Async;
use connection::Http2Connection;
use handshake::{PrefaceError, ReceivedPreface, handshake, read_preface, reject_protocol};
use std::cell::Cell;
use std::net::TcpStream;
use std::rc::Rc;
use tracing::warn;

/// The listener for HTTP/2.
pub(super) struct Http2Listener {
    context: Rc<ListenerContext>,
    slots: Rc<ConnectionSlots>,
    /// Limits of future connections.
    limits: Cell<Http2Limits>,
}

impl ConnectionHandler for Http2Listener {
    fn slots(&self) -> &Rc<ConnectionSlots> {
        &self.slots
    }

    async fn serve(self: Rc<Self>, stream: Async<TcpStream>, arrival: Arrival, _slot: Slot) {
        let id = self.context.next_connection();
        let stream = Rc::new(stream);
        match read_preface(&stream, arrival, &self.slots, self.context.slice()).await {
            Ok(preface) => {
                self.serve_requests(id, stream.clone(), preface).await;
                // Closing the socket with unread data would reset the connection, and the client
                // would lose the last frames.
                let _ = linger(&stream, LINGER).await;
            }
            Err(PrefaceError::Violation(violation)) => {
                warn!(name: "http2_connection_rejected", connection = id.0, reason = %violation);
                let _ = reject_protocol(&self.context, &stream, violation).await;
            }
            Err(PrefaceError::Closed) => {}
        }
    }

    /// Sends nothing: HTTP/2 allows a response only after an exchange of frames. The connection is
    /// closed without one.
    fn reject(&self, _stream: &Async<TcpStream>) {}
}

impl Http2Listener {
    /// Creates a listener with the given limits. The limit on the number of connections cannot be
    /// changed later.
    pub(super) fn new(context: Rc<ListenerContext>, limits: Http2Limits) -> Self {
        Http2Listener {
            context,
            slots: ConnectionSlots::new(limits.max_connections),
            limits: Cell::new(limits),
        }
    }

    /// Returns the number of open connections.
    pub(super) fn open_connections(&self) -> usize {
        self.slots.open_connections()
    }

    /// Sets the limits of future connections. The limit on the number of connections stays as it
    /// is.
    pub(super) fn set_limits(&self, limits: Http2Limits) {
        self.limits.set(limits);
    }

    /// Exchanges settings with the client and serves its requests until the connection is closed.
    async fn serve_requests(
        &self,
        id: ConnectionId,
        stream: Rc<Async<TcpStream>>,
        preface: ReceivedPreface,
    ) {
        let handshake = handshake(self.limits.get(), &self.context, stream, preface);
        if let Ok(protocol) = handshake.await {
            let mut connection = Http2Connection::new(&self.context, &self.slots, id, protocol);
            connection.run().await;
        }
    }
}
