//! The listener for HTTP/1.1. Each connection is served and closed by a task of its own.
//! `connection` holds the state of a connection, `waiting` waits for its next request, and `input`
//! holds the bytes that have been received on it.

mod connection;
mod input;
mod waiting;

use super::accept::ConnectionHandler;
use super::arrival::Arrival;
use super::context::ListenerContext;
use super::reply::CLOSING_RESPONSE;
use super::slots::{ConnectionSlots, Slot};
use crate::net::{LINGER, linger};
use async_io::Async;
use connection::{Closing, Http1Connection};
use http1_codec::encode_response;
use std::io::{self, Write};
use std::net::{Shutdown, TcpStream};
use std::rc::Rc;

/// The listener for HTTP/1.1.
pub(super) struct Http1Listener {
    context: Rc<ListenerContext>,
    slots: Rc<ConnectionSlots>,
}

impl ConnectionHandler for Http1Listener {
    fn slots(&self) -> &Rc<ConnectionSlots> {
        &self.slots
    }

    /// Serves a connection until it is closed. After an I/O error the connection is closed in the
    /// same way as after its last response. If the error is the client's disconnection, the query
    /// has already been cancelled.
    async fn serve(self: Rc<Self>, stream: Async<TcpStream>, arrival: Arrival, slot: Slot) {
        let closing = self.serve_requests(&stream, arrival).await;
        let linger_time = match closing.unwrap_or(Closing::Linger(LINGER)) {
            Closing::Linger(time) => time,
            Closing::Immediately => return,
        };
        // The connection counts as open until `_closing` is dropped. Its slot is freed for another
        // connection now, unless too many connections without a slot are already being closed.
        let _closing = slot.close();
        let _ = linger(&stream, linger_time).await;
    }

    fn reject(&self, stream: &Async<TcpStream>) {
        let response = self.context.with_date(self.context.rejection());
        let encoded = encode_response(&response, CLOSING_RESPONSE);
        let _ = stream.get_ref().write(&encoded);
        let _ = stream.get_ref().shutdown(Shutdown::Write);
    }
}

impl Http1Listener {
    /// Creates a listener that holds at most `max_connections` connections.
    pub(super) fn new(context: Rc<ListenerContext>, max_connections: usize) -> Self {
        Http1Listener {
            context,
            slots: ConnectionSlots::new(max_connections),
        }
    }

    /// Returns the number of open connections, including those that are being closed.
    pub(super) fn open_connections(&self) -> usize {
        self.slots.open_connections()
    }

    /// Closes the connections that are idle.
    pub(super) fn close_idle(&self) {
        self.slots.close_idle();
    }

    /// Serves the requests of a connection until it has to be closed. Returns how the caller must
    /// close it.
    async fn serve_requests(
        &self,
        stream: &Async<TcpStream>,
        arrival: Arrival,
    ) -> io::Result<Closing> {
        stream.get_ref().set_nodelay(true)?;
        Http1Connection::new(&self.context, &self.slots, stream, arrival)
            .serve()
            .await
    }
}
