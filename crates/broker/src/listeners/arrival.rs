//! Determines when the bytes that a socket delivers, and the connections that a listening socket
//! delivers, arrived at this machine.
//!
//! A client's time counts from the arrival of its request, not from the moment at which the broker
//! reads it. The operating system does not tell the time of arrival. While the broker waits for a
//! socket, the connection's task is woken as soon as bytes arrive, so the time at which it becomes
//! ready to run is the time of arrival. What is
//! found on a socket for which the broker did not wait may have arrived at any time since the socket
//! was last known to be empty.

use crate::executor::CurrentSlice;
use crate::net::{READ_CHUNK_BYTES, read_some};
use async_io::Async;
use std::cell::Cell;
use std::collections::VecDeque;
use std::future::poll_fn;
use std::io;
use std::net::TcpStream;
use std::pin::pin;
use std::rc::Rc;
use std::time::Instant;

/// Maximum length of the backlog of a listening socket. The standard library requests 128
/// connections, and the kernel accepts one more.
const MAX_BACKLOG: usize = 129;
/// Maximum number of times that are kept for the bytes in one buffer.
const MAX_BUFFERED_CHUNKS: usize = 32;

/// When a connection, or a request on it, arrived, and when the broker accepted the connection.
#[derive(Clone, Copy, Debug)]
pub(super) struct Arrival {
    /// The earliest time at which the connection, or the last byte of the request, arrived.
    pub(super) arrived_at: Instant,
    /// When the connection was taken from the backlog.
    pub(super) accepted_at: Instant,
    /// When the delay after invalid requests ended, if there was one.
    pub(super) delayed_until: Option<Instant>,
}

/// The time since which bytes may be waiting in a socket.
pub(super) struct UnreadBytes {
    /// `None` while the broker waits for the socket, which is empty then.
    since: Option<Instant>,
    slice: CurrentSlice,
}

impl UnreadBytes {
    /// Creates the state of a socket in which bytes may have been waiting since `since`. It is read
    /// in the time slices that `slice` shows.
    pub(super) fn new(since: Instant, slice: CurrentSlice) -> Self {
        let since = Some(since);
        UnreadBytes { since, slice }
    }

    /// Records that the socket is empty and that the broker waits for it.
    pub(super) fn on_empty(&mut self) {
        self.since = None;
    }

    /// Records that `bytes` were read at `now`, and returns when they arrived at the earliest.
    /// `is_emptied` states whether the read has taken all bytes that the socket held.
    pub(super) fn on_read(&mut self, now: Instant, bytes: usize, is_emptied: bool) -> Instant {
        self.slice.on_received(bytes);
        let ready_since = self.slice.ready_since();
        let arrived_at = self.since.or(ready_since).unwrap_or(now);
        self.since = Some(if is_emptied { now } else { arrived_at });
        arrived_at
    }

    /// Records that the broker no longer waits for the socket. Does nothing if it did not wait.
    pub(super) fn on_wait_ended(&mut self, now: Instant) {
        self.since.get_or_insert(now);
    }
}

/// Bytes that were read from a socket.
pub(super) struct ReadBytes {
    /// Number of bytes; 0 at the end of the stream.
    pub(super) len: usize,
    /// When they arrived at the earliest.
    pub(super) arrived_at: Instant,
}

/// Waits until bytes have arrived and appends them to `input`. `unread` is the state of the socket.
/// If the future is dropped while the connection continues, [`UnreadBytes::on_wait_ended`] must be
/// called.
///
/// # Errors
///
/// Returns the error of the read.
pub(super) async fn read_with_arrival(
    stream: &Async<TcpStream>,
    input: &mut Vec<u8>,
    unread: &mut UnreadBytes,
) -> io::Result<ReadBytes> {
    let mut read = pin!(read_some(stream, input));
    let len = poll_fn(|cx| {
        let len = read.as_mut().poll(cx);
        if len.is_pending() {
            unread.on_empty();
        }
        len
    })
    .await?;
    let arrived_at = unread.on_read(Instant::now(), len, len < READ_CHUNK_BYTES);
    Ok(ReadBytes { len, arrived_at })
}

/// The arrival of the bytes that were read last on an HTTP/2 connection, shared by its socket, which
/// sets it, and its streams.
#[derive(Clone)]
pub(super) struct LastArrival {
    arrived_at: Rc<Cell<Instant>>,
    /// When the connection was accepted.
    accepted_at: Instant,
}

impl LastArrival {
    pub(super) fn new(arrival: Arrival) -> Self {
        LastArrival {
            arrived_at: Rc::new(Cell::new(arrival.arrived_at)),
            accepted_at: arrival.accepted_at,
        }
    }

    pub(super) fn set(&self, arrived_at: Instant) {
        self.arrived_at.set(arrived_at);
    }

    pub(super) fn get(&self) -> Arrival {
        Arrival {
            arrived_at: self.arrived_at.get(),
            accepted_at: self.accepted_at,
            delayed_until: None,
        }
    }
}

/// Bytes in a buffer that arrived at the same time.
struct Chunk {
    bytes: usize,
    arrived_at: Instant,
}

/// The arrival times of the bytes in a buffer from which requests are decoded.
#[derive(Default)]
pub(super) struct BufferedArrivals {
    chunks: VecDeque<Chunk>,
}

impl BufferedArrivals {
    /// Records that `bytes` were appended to the buffer. If too many times are kept, they count as
    /// having arrived with the bytes before them.
    pub(super) fn on_appended(&mut self, bytes: usize, arrived_at: Instant) {
        if self.chunks.len() >= MAX_BUFFERED_CHUNKS
            && let Some(last) = self.chunks.back_mut()
        {
            last.bytes += bytes;
        } else {
            self.chunks.push_back(Chunk { bytes, arrived_at });
        }
    }

    /// Records that `bytes` were removed from the start of the buffer. Returns when the last of them
    /// arrived, or `None` if there are none.
    pub(super) fn on_removed(&mut self, mut bytes: usize) -> Option<Instant> {
        let mut arrived_at = None;
        while bytes > 0
            && let Some(first) = self.chunks.front_mut()
        {
            arrived_at = Some(first.arrived_at);
            let removed = bytes.min(first.bytes);
            first.bytes -= removed;
            bytes -= removed;
            if first.bytes == 0 {
                self.chunks.pop_front();
            }
        }
        arrived_at
    }
}

/// The times by which the age of connections in the backlog of a listening socket is bounded.
///
/// The broker does not wait for the listening socket while it makes room for an accepted connection.
/// A connection that is found in the backlog afterwards arrived after the backlog was last empty. As
/// connections are accepted in the order of their arrival, it also arrived after the acceptance of
/// the connection that was [`MAX_BACKLOG`] places ahead of it.
pub(super) struct Backlog {
    /// When connections were accepted since the backlog was last empty; at most [`MAX_BACKLOG`].
    /// Before the backlog was ever empty, the first is the time at which the socket was opened.
    accepted_at: VecDeque<Instant>,
}

impl Backlog {
    /// Creates the state of a listening socket that was opened at `opened_at`.
    pub(super) fn new(opened_at: Instant) -> Self {
        Backlog {
            accepted_at: VecDeque::from([opened_at]),
        }
    }

    /// Records that the backlog is empty and that the broker waits for the listening socket.
    pub(super) fn on_empty(&mut self) {
        self.accepted_at.clear();
    }

    /// Records that a connection was accepted at `now`, and returns when it arrived at the earliest.
    pub(super) fn on_accepted(&mut self, now: Instant) -> Instant {
        let arrived_at = self.accepted_at.front().copied().unwrap_or(now);
        if self.accepted_at.len() >= MAX_BACKLOG {
            self.accepted_at.pop_front();
        }
        self.accepted_at.push_back(now);
        arrived_at
    }
}

#[cfg(test)]
mod tests;
