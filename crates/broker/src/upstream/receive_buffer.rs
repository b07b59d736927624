//! The bytes that were received on one connection and have not been decoded yet.
//!
//! The socket task appends to a [`ReceiveBuffer`], and the event loop decodes from it. Both the
//! buffer of one connection and, through the [`ReceiveBudget`], the buffers of all connections
//! together are bounded. While either bound is reached, the task leaves further bytes in the socket,
//! so that TCP's flow control stops the server.

use crate::net::READ_CHUNK_BYTES;
use async_io::Async;
use event_listener::Event;
use futures_lite::AsyncRead;
use server_protocol::broker::{MAX_FRAME_LEN, ServerMessage, decode, may_continue_value};
use server_protocol::{Decoded, InvalidFrame};
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::io::{self, Read};
use std::net::TcpStream;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Poll, ready};

/// Number of buffered bytes from which on nothing more is read from a connection. A buffer that
/// holds this many bytes starts with a complete or an invalid frame, so decoding always frees space.
const MAX_BUFFERED_BYTES: usize = MAX_FRAME_LEN;

/// The memory that the receive buffers of all connections may use together.
pub(super) struct ReceiveBudget {
    max_bytes: usize,
    used_bytes: Cell<usize>,
    /// Notified when buffered bytes are released.
    bytes_released: Event,
}

impl ReceiveBudget {
    /// Creates a budget of `max_bytes`, of which nothing is used. It always suffices for the
    /// largest frame.
    pub(super) fn new(max_bytes: usize) -> Rc<Self> {
        Rc::new(ReceiveBudget {
            max_bytes: max_bytes.max(MAX_FRAME_LEN),
            used_bytes: Cell::new(0),
            bytes_released: Event::new(),
        })
    }

    fn is_exhausted(&self) -> bool {
        self.used_bytes.get() >= self.max_bytes
    }

    fn take(&self, bytes: usize) {
        self.used_bytes.set(self.used_bytes.get() + bytes);
    }

    fn release(&self, bytes: usize) {
        self.used_bytes.set(self.used_bytes.get() - bytes);
        self.bytes_released.notify(usize::MAX);
    }
}

/// A message from the server.
pub(super) struct ReceivedMessage {
    pub(super) message: ServerMessage,
    /// Whether the bytes received behind the frame may be the rest of its value. The value is then
    /// incomplete, because the length of the frame was too small.
    pub(super) may_be_incomplete: bool,
}

/// Result of [`ReceiveBuffer::read_from`].
pub(super) enum ReadOutcome {
    /// Bytes were received.
    Received,
    /// Nothing was read, because the buffer or the budget has no space left.
    NoSpace,
    /// The server has closed its side of the connection.
    EndOfStream,
}

/// Received bytes, of which the first may have been decoded already.
#[derive(Default)]
struct ReceivedBytes {
    bytes: Vec<u8>,
    /// Number of bytes at the start that have been decoded.
    decoded: usize,
}

impl ReceivedBytes {
    /// Returns the bytes that have not been decoded.
    fn undecoded(&self) -> &[u8] {
        &self.bytes[self.decoded..]
    }

    /// Frees the memory of the decoded bytes.
    fn remove_decoded(&mut self) {
        if self.undecoded().is_empty() {
            // An idle connection holds no memory.
            self.bytes = Vec::new();
        } else {
            self.bytes.drain(..self.decoded);
        }
        self.decoded = 0;
    }
}

/// The bytes that were received on one connection and have not been decoded yet.
pub(super) struct ReceiveBuffer {
    received: RefCell<ReceivedBytes>,
    budget: Rc<ReceiveBudget>,
    /// Whether bytes were received since the event loop last decoded.
    has_new_bytes: Cell<bool>,
}

impl ReceiveBuffer {
    /// Creates an empty buffer.
    pub(super) fn new(budget: Rc<ReceiveBudget>) -> Self {
        ReceiveBuffer {
            received: RefCell::default(),
            budget,
            has_new_bytes: Cell::new(false),
        }
    }

    /// Waits until the socket is readable and appends the bytes that it holds, as far as there is
    /// space. It does not stop after one chunk, because what follows a frame shows whether its
    /// value is complete.
    ///
    /// # Errors
    ///
    /// Returns the error of the first read.
    pub(super) async fn read_from(&self, mut stream: &Async<TcpStream>) -> io::Result<ReadOutcome> {
        poll_fn(|cx| {
            // Checked immediately before each read, because other connections use the same budget.
            if !self.has_space() {
                return Poll::Ready(Ok(ReadOutcome::NoSpace));
            }
            let mut chunk = [0; READ_CHUNK_BYTES];
            let mut received = ready!(Pin::new(&mut stream).poll_read(cx, &mut chunk))?;
            if received == 0 {
                return Poll::Ready(Ok(ReadOutcome::EndOfStream));
            }
            self.append(&chunk[..received]);
            while received == READ_CHUNK_BYTES && self.has_space() {
                // The next call reports an error or the end of the stream.
                received = stream.get_ref().read(&mut chunk).unwrap_or(0);
                self.append(&chunk[..received]);
            }
            Poll::Ready(Ok(ReadOutcome::Received))
        })
        .await
    }

    /// Appends received bytes.
    pub(super) fn append(&self, received: &[u8]) {
        let bytes = &mut self.received.borrow_mut().bytes;
        // The default growth of a vector could use twice the memory that the bounds allow.
        bytes.reserve_exact(received.len());
        bytes.extend(received);
        self.budget.take(received.len());
    }

    /// Waits until more bytes may be received.
    pub(super) async fn wait_for_space(&self) {
        while !self.has_space() {
            self.budget.bytes_released.listen().await;
        }
    }

    fn has_space(&self) -> bool {
        self.received.borrow().bytes.len() < MAX_BUFFERED_BYTES && !self.budget.is_exhausted()
    }

    /// Records that bytes were received. Returns whether they have to be reported to the event
    /// loop: not if earlier bytes were reported and the event loop has not decoded them yet, as it
    /// will decode these bytes together with them.
    pub(super) fn mark_received(&self) -> bool {
        !self.has_new_bytes.replace(true)
    }

    /// Records that the event loop starts to decode, so that bytes received later have to be
    /// reported again.
    pub(super) fn clear_received(&self) {
        self.has_new_bytes.set(false);
    }

    /// Removes the first frame and returns its message. Returns `None` if the buffer holds no
    /// complete frame; the memory of the frames that were removed before is then freed.
    ///
    /// # Errors
    ///
    /// The reason why the first frame is invalid.
    pub(super) fn next_message(&self) -> Result<Option<ReceivedMessage>, InvalidFrame> {
        let mut received = self.received.borrow_mut();
        let Some(Decoded { message, frame_len }) = decode(received.undecoded())? else {
            self.budget.release(received.decoded);
            received.remove_decoded();
            return Ok(None);
        };
        received.decoded += frame_len;
        let may_be_incomplete = may_continue_value(received.undecoded());
        Ok(Some(ReceivedMessage {
            message,
            may_be_incomplete,
        }))
    }

    /// Returns whether the undecoded bytes may be the rest of the last value.
    pub(super) fn may_continue_value(&self) -> bool {
        may_continue_value(self.received.borrow().undecoded())
    }

    /// Returns the number of bytes that are buffered, including decoded ones that still use memory.
    #[cfg(test)]
    pub(super) fn len(&self) -> usize {
        self.received.borrow().bytes.len()
    }

    /// Returns whether no bytes are buffered that have not been decoded.
    pub(super) fn is_empty(&self) -> bool {
        self.received.borrow().undecoded().is_empty()
    }
}

impl Drop for ReceiveBuffer {
    fn drop(&mut self) {
        self.budget.release(self.received.get_mut().bytes.len());
    }
}
