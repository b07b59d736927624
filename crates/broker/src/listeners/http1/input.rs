//! Reads requests from a connection, including pipelined requests that arrive while a response is
//! outstanding.

use crate::clock::with_timeout;
use crate::executor::CurrentSlice;
use crate::listeners::arrival::{Arrival, BufferedArrivals, UnreadBytes, read_with_arrival};
use crate::listeners::timeouts::{MESSAGE_TIMEOUT, RECEIVE_TIMEOUT};
use async_io::Async;
use futures_lite::AsyncWriteExt;
use futures_lite::future::yield_now;
use http::Request;
use http1_codec::{Limits, Message, ParseError, Progress, RequestDecoder};
use query_api::{MAX_BODY_BYTES, MAX_HEAD_BYTES};
use std::io;
use std::net::TcpStream;
use std::time::Instant;

/// Limits on the size of a request.
const REQUEST_LIMITS: Limits = Limits {
    head_bytes: MAX_HEAD_BYTES,
    body_bytes: MAX_BODY_BYTES,
};
/// Interim response to a client that waits for it before it sends a body (RFC 9110, section
/// 15.2.1).
const CONTINUE_RESPONSE: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

/// Result of reading a request.
pub(super) enum ReceivedRequest {
    /// The request is complete.
    Complete {
        message: Box<Message<Request<Vec<u8>>>>,
        /// When its last byte arrived.
        arrival: Arrival,
    },
    /// The request violates the protocol or a limit. Its end is unknown, so no further request can
    /// be read from the connection.
    Invalid(ParseError),
}

/// Reader of the requests that arrive on a connection.
pub(super) struct RequestInput<'a> {
    stream: &'a Async<TcpStream>,
    decoder: RequestDecoder,
    /// Bytes that have been read and not decoded yet.
    buffer: Vec<u8>,
    /// Arrival times of the bytes in `buffer`.
    arrivals: BufferedArrivals,
    /// When the byte that was decoded last arrived.
    decoded_arrival: Arrival,
    /// Bytes that have not been read yet.
    unread: UnreadBytes,
}

impl<'a> RequestInput<'a> {
    /// Creates a reader of a connection with the given arrival.
    /// `slice` shows the time slices in which it is read.
    pub(super) fn new(stream: &'a Async<TcpStream>, arrival: Arrival, slice: CurrentSlice) -> Self {
        RequestInput {
            stream,
            decoder: RequestDecoder::new(REQUEST_LIMITS),
            buffer: Vec::new(),
            arrivals: BufferedArrivals::default(),
            decoded_arrival: arrival,
            unread: UnreadBytes::new(arrival.arrived_at, slice),
        }
    }

    /// Records when the delay of the next request ended, if it is delayed.
    pub(super) fn set_delayed_until(&mut self, delayed_until: Option<Instant>) {
        self.decoded_arrival.delayed_until = delayed_until;
    }

    /// Records that the caller has dropped the future of [`Self::read`] and does not read for now.
    pub(super) fn on_read_dropped(&mut self) {
        self.unread.on_wait_ended(Instant::now());
    }

    /// Returns the number of bytes that have been read and not decoded yet.
    pub(super) fn buffered_bytes(&self) -> usize {
        self.buffer.len()
    }

    /// Frees the memory of the buffer if it is empty, so that an idle connection holds no buffer.
    pub(super) fn release_empty_buffer(&mut self) {
        if self.buffer.is_empty() {
            self.buffer = Vec::new();
        }
    }

    /// Waits until bytes have arrived and reads them into the buffer. Returns their number, which
    /// is 0 if the client has closed its side.
    pub(super) async fn read(&mut self) -> io::Result<usize> {
        let read = read_with_arrival(self.stream, &mut self.buffer, &mut self.unread).await?;
        self.arrivals.on_appended(read.len, read.arrived_at);
        Ok(read.len)
    }

    /// Decodes bytes of the buffer and removes them.
    fn decode(&mut self) -> Result<Progress<Request<Vec<u8>>>, ParseError> {
        let buffered = self.buffer.len();
        let progress = self.decoder.decode(&mut self.buffer);
        let removed = buffered - self.buffer.len();
        if let Some(arrived_at) = self.arrivals.on_removed(removed) {
            self.decoded_arrival.arrived_at = arrived_at;
        }
        progress
    }

    /// Reads until a request is complete or found to be invalid.
    ///
    /// # Errors
    ///
    /// The error of the socket; [`io::ErrorKind::TimedOut`] if nothing arrives for
    /// [`RECEIVE_TIMEOUT`], or if the client does not accept the interim response within
    /// [`MESSAGE_TIMEOUT`]; [`io::ErrorKind::UnexpectedEof`] if the client closes its side before
    /// the end of the request.
    pub(super) async fn read_request(&mut self) -> io::Result<ReceivedRequest> {
        let mut continue_sent = false;
        loop {
            let awaits_continue = match self.decode() {
                Err(error) => return Ok(ReceivedRequest::Invalid(error)),
                Ok(Progress::Complete(message)) => {
                    return Ok(ReceivedRequest::Complete {
                        message: Box::new(message),
                        arrival: self.decoded_arrival,
                    });
                }
                Ok(Progress::Incomplete { awaits_continue }) => awaits_continue,
            };
            if awaits_continue && !continue_sent {
                continue_sent = true;
                write(self.stream, CONTINUE_RESPONSE).await?;
            }
            if with_timeout(RECEIVE_TIMEOUT, self.read()).await? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            // Lets other tasks run: a client that sends continuously must not occupy the thread.
            yield_now().await;
        }
    }
}

/// Writes bytes to the client. Fails with [`io::ErrorKind::TimedOut`] if the client does not accept
/// all of them within [`MESSAGE_TIMEOUT`].
pub(super) async fn write(mut stream: &Async<TcpStream>, bytes: &[u8]) -> io::Result<()> {
    with_timeout(MESSAGE_TIMEOUT, stream.write_all(bytes)).await
}
