//! One HTTP/1.1 connection: reads a request, waits for its final response, writes it, and starts
//! again.

use super::input::{ReceivedRequest, RequestInput, write};
use crate::clock::with_timeout;
use crate::listeners::context::{ListenerContext, RoutedRequest};
use crate::listeners::lifecycle::Phase;
use crate::listeners::reply::{CLOSING_RESPONSE, Reply, error_reply, request_timeout_reply};
use crate::listeners::slots::{ConnectionSlots, EvictionPriority};
use crate::listeners::timeouts::{MESSAGE_TIMEOUT, SILENCE_TIMEOUT};
use crate::net::{LINGER, LINGER_IDLE, has_hung_up};
use admission::ConnectionId;
use async_io::{Async, Timer};
use broker_types::time::whole_micros;
use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use http::{Method, Request};
use http1_codec::{Message, ResponseOptions, encode_response};
use query_api::MAX_HEAD_BYTES;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Most bytes of pipelined requests that are read while a response is outstanding.
const MAX_READ_AHEAD_BYTES: usize = MAX_HEAD_BYTES;
/// Interval at which a connection with [`MAX_READ_AHEAD_BYTES`] buffered is checked for the
/// client's disconnection, which reading can no longer detect.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// How the wait for a request ended.
enum WaitOutcome {
    /// The first bytes of a request have arrived.
    RequestStarted,
    /// The connection has to be closed.
    ConnectionEnded,
}

impl WaitOutcome {
    /// The outcome of a read, which returned 0 at the end of the stream.
    fn of_read(received: usize) -> Self {
        if received > 0 {
            WaitOutcome::RequestStarted
        } else {
            WaitOutcome::ConnectionEnded
        }
    }
}

/// Whether a connection stays open after a response (RFC 9112, section 9.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Persistence {
    /// The connection stays open for the next request.
    KeepAlive,
    /// The connection has to be closed.
    Close,
}

/// One HTTP/1.1 connection.
pub(super) struct Http1Connection<'a> {
    context: &'a Rc<ListenerContext>,
    slots: &'a ConnectionSlots,
    stream: &'a Async<TcpStream>,
    id: ConnectionId,
    input: RequestInput<'a>,
    /// Whether a valid request has been served.
    has_served: bool,
}

impl<'a> Http1Connection<'a> {
    pub(super) fn new(
        context: &'a Rc<ListenerContext>,
        slots: &'a ConnectionSlots,
        stream: &'a Async<TcpStream>,
    ) -> Self {
        Http1Connection {
            context,
            slots,
            stream,
            id: context.next_connection(),
            input: RequestInput::new(stream),
            has_served: false,
        }
    }

    /// Serves requests until the connection has to be closed. Returns the longest time for which
    /// closing it waits for the client.
    pub(super) async fn serve(&mut self) -> io::Result<Duration> {
        loop {
            if self.input.buffered_bytes() == 0
                && let WaitOutcome::ConnectionEnded = self.wait_for_request().await?
            {
                return Ok(LINGER_IDLE);
            }
            let request = match self.receive_request().await {
                Ok(ReceivedRequest::Complete(request)) => request,
                Ok(ReceivedRequest::Invalid(error)) => {
                    return self
                        .close_with(error_reply(error.status(), error.to_string()))
                        .await;
                }
                Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                    return self.close_with(request_timeout_reply()).await;
                }
                Err(error) => return Err(error),
            };
            if self.respond(&request).await? == Persistence::Close {
                return Ok(LINGER);
            }
            self.input.release_empty_buffer();
            // A client that sends without pause must not keep the only thread from all others.
            yield_now().await;
        }
    }

    /// Waits, idle, for the first bytes of a request.
    async fn wait_for_request(&mut self) -> io::Result<WaitOutcome> {
        if self.context.lifecycle().phase() == Phase::Closing {
            return self.wait_for_last_request().await;
        }
        let priority = if self.has_served {
            EvictionPriority::Idle
        } else {
            EvictionPriority::Unused
        };
        let evictable = self.slots.evictable(priority);
        let timeout = if self.has_served {
            self.slots.idle_timeout()
        } else {
            SILENCE_TIMEOUT
        };
        let timer = Timer::after(timeout);
        let closed = async {
            evictable.evicted().or(async { _ = timer.await }).await;
            Ok(0)
        };
        // A request that arrives at the same moment is served, because reading is polled first.
        let received = self.input.read().or(closed).await?;
        Ok(WaitOutcome::of_read(received))
    }

    /// Like [`Self::wait_for_request`] while the broker closes its connections: a request that has
    /// arrived is served. A client that has just connected has some time to send its first.
    async fn wait_for_last_request(&mut self) -> io::Result<WaitOutcome> {
        let has_served = self.has_served;
        let closed = async {
            if !has_served {
                Timer::after(LINGER_IDLE).await;
            }
            Ok(0)
        };
        let received = self.input.read().or(closed).await?;
        Ok(WaitOutcome::of_read(received))
    }

    /// Receives a request that has started. The first one of a connection may be evicted.
    async fn receive_request(&mut self) -> io::Result<ReceivedRequest> {
        let received = with_timeout(MESSAGE_TIMEOUT, self.input.read_request());
        if self.has_served {
            return received.await;
        }
        let evictable = self
            .slots
            .evictable(EvictionPriority::ReceivingFirstRequest);
        let evicted = async {
            evictable.evicted().await;
            Err(io::ErrorKind::ConnectionAborted.into())
        };
        received.or(evicted).await
    }

    /// Responds to a request.
    async fn respond(&mut self, request: &Message<Request<Vec<u8>>>) -> io::Result<Persistence> {
        let reply = self.reply_to(&request.value).await?;
        let is_serving = self.context.lifecycle().phase() == Phase::Serving;
        let options = ResponseOptions {
            version: request.value.version(),
            head_only: request.value.method() == Method::HEAD,
            keep_alive: request.keep_alive && is_serving,
        };
        let response = self.context.with_date(reply.response);
        write(self.stream, &encode_response(&response, options)).await?;
        self.has_served |= reply.is_valid_request;
        Ok(if options.keep_alive {
            Persistence::KeepAlive
        } else {
            Persistence::Close
        })
    }

    /// The reply to a request. Fails if the client disconnects before.
    async fn reply_to(&mut self, request: &Request<Vec<u8>>) -> io::Result<Reply> {
        let mut query = match self.context.route(request) {
            RoutedRequest::Query(query) => query,
            RoutedRequest::Replied(reply) => return Ok(reply),
        };
        // The client's timeout includes the time that a pipelined request has waited for the one
        // before it.
        let waited = whole_micros(self.input.last_read_at().elapsed());
        query.client_timeout = query
            .client_timeout
            .saturating_sub(Duration::from_micros(waited));
        let disconnected = wait_for_disconnect(self.stream, &mut self.input);
        self.context.submit(self.id, query, disconnected).await
    }

    /// Sends the reply to a request whose end is unknown, after which the connection has to be
    /// closed.
    async fn close_with(&self, reply: Reply) -> io::Result<Duration> {
        let response = self.context.with_date(reply.response);
        write(self.stream, &encode_response(&response, CLOSING_RESPONSE)).await?;
        Ok(LINGER)
    }
}

/// Waits until the client has disconnected, and returns the error of that. Pipelined requests are
/// read meanwhile, up to [`MAX_READ_AHEAD_BYTES`].
async fn wait_for_disconnect(stream: &Async<TcpStream>, input: &mut RequestInput<'_>) -> io::Error {
    while input.buffered_bytes() < MAX_READ_AHEAD_BYTES {
        match input.read().await {
            Ok(0) => return io::ErrorKind::UnexpectedEof.into(),
            Ok(_) => {}
            Err(error) => return error,
        }
    }
    while !has_hung_up(stream) {
        Timer::after(DISCONNECT_CHECK_INTERVAL).await;
    }
    io::ErrorKind::UnexpectedEof.into()
}
