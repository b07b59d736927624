//! The socket of an HTTP/2 connection, adapted to the `h2` library, with the flood guard on its
//! input.

use super::handshake::ReceivedPreface;
use crate::clock::Clock;
use crate::executor::CurrentSlice;
use crate::listeners::arrival::{LastArrival, UnreadBytes};
use crate::listeners::context::ListenerContext;
use async_io::Async;
use broker_types::time::Timestamp;
use futures_lite::{AsyncRead as _, AsyncWrite as _};
use http2_flood_guard::{FloodGuard, Violation};
use std::cell::RefCell;
use std::io;
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The flood guard of a connection and the violation that it has reported, if any.
pub(super) struct GuardState {
    guard: FloodGuard,
    violation: Option<Violation>,
}

/// The state of the guard, shared by two owners: the socket passes the input to the guard, and the
/// connection handles the violation.
pub(super) type SharedGuard = Rc<RefCell<GuardState>>;

impl GuardState {
    /// Creates the shared state of a guard that has reported no violation.
    pub(super) fn new(guard: FloodGuard) -> SharedGuard {
        Rc::new(RefCell::new(GuardState {
            guard,
            violation: None,
        }))
    }

    /// Returns the violation that the guard has reported.
    pub(super) fn violation(&self) -> Option<Violation> {
        self.violation
    }

    /// Returns the time since which the preface, a frame or a header block has been incomplete, or
    /// `None` if none of them is.
    pub(super) fn incomplete_since(&self) -> Option<Timestamp> {
        self.guard.incomplete_since()
    }

    /// Records in the guard that a response with a body of `body_bytes` was sent. The guard then
    /// permits the client more control frames, because the client has to send window updates to
    /// receive a body.
    pub(super) fn on_response_sent(&mut self, body_bytes: usize) {
        self.guard.on_response_sent(body_bytes);
    }

    /// Passes received bytes to the guard, and records the violation if it reports one.
    fn inspect(&mut self, now: Timestamp, bytes: &[u8]) -> Result<(), Violation> {
        let inspected = self.guard.on_received(now, bytes);
        inspected.inspect_err(|violation| self.violation = Some(*violation))
    }
}

/// A socket whose input is inspected by the flood guard. After a violation, reads return
/// [`Poll::Pending`] and register no wake-up. None is needed, because the connection checks for a
/// violation after each poll of the `h2` library and is closed if there is one.
pub(super) struct GuardedSocket {
    stream: Rc<Async<TcpStream>>,
    /// Bytes that were read from the stream before the `h2` library was started, and that the
    /// library has not read yet.
    initial_input: Vec<u8>,
    guard: SharedGuard,
    /// Bytes that have not been read from the stream yet.
    unread: UnreadBytes,
    last_arrival: LastArrival,
    clock: Clock,
    slice: CurrentSlice,
}

impl GuardedSocket {
    /// Creates a socket that continues after `preface`.
    pub(super) fn new(
        stream: Rc<Async<TcpStream>>,
        preface: ReceivedPreface,
        guard: SharedGuard,
        last_arrival: LastArrival,
        context: &ListenerContext,
    ) -> Self {
        GuardedSocket {
            stream,
            initial_input: preface.bytes,
            unread: preface.unread,
            last_arrival,
            guard,
            clock: context.clock(),
            slice: context.slice().clone(),
        }
    }

    /// Passes received bytes to the guard, with the current time.
    fn inspect(&self, bytes: &[u8]) -> Result<(), Violation> {
        self.guard.borrow_mut().inspect(self.clock.now(), bytes)
    }

    /// Reads from `initial_input`.
    fn poll_read_initial_input(&mut self, buf: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let length = self.initial_input.len().min(buf.remaining());
        let bytes: Vec<u8> = self.initial_input.drain(..length).collect();
        if self.inspect(&bytes).is_err() {
            return Poll::Pending;
        }
        buf.put_slice(&bytes);
        Poll::Ready(Ok(()))
    }

    /// Reads from the stream.
    fn poll_read_socket(
        &mut self,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let unfilled = buf.initialize_unfilled();
        let Poll::Ready(length) = Pin::new(&mut &*self.stream).poll_read(cx, unfilled) else {
            self.unread.on_empty();
            return Poll::Pending;
        };
        let length = length?;
        let is_emptied = length < unfilled.len();
        self.last_arrival
            .set(self.unread.on_read(Instant::now(), length, is_emptied));
        if self.inspect(&unfilled[..length]).is_err() {
            return Poll::Pending;
        }
        buf.advance(length);
        Poll::Ready(Ok(()))
    }
}

impl AsyncRead for GuardedSocket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let has_violation = self.guard.borrow().violation().is_some();
        if has_violation {
            return Poll::Pending;
        }
        // The library reads for as long as there is something to read.
        ready!(self.slice.poll_yield_if_used_up(cx));
        if self.initial_input.is_empty() {
            self.poll_read_socket(cx, buf)
        } else {
            self.poll_read_initial_input(buf)
        }
    }
}

impl AsyncWrite for GuardedSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut &*self.stream).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &*self.stream).poll_close(cx)
    }
}
