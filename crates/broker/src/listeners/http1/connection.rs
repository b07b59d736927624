//! One HTTP/1.1 connection. It serves one request at a time: it reads the request, waits for its
//! final response and writes the response before it decodes the next request.

use super::input::{ReceivedRequest, RequestInput, write};
use super::waiting::{DelayOutcome, WaitOutcome};
use crate::clock::with_timeout;
use crate::listeners::arrival::Arrival;
use crate::listeners::context::{ListenerContext, RoutedRequest};
use crate::listeners::invalid_request_delay::InvalidRequestDelay;
use crate::listeners::lifecycle::Phase;
use crate::listeners::reply::{CLOSING_RESPONSE, Reply, error_reply, request_timeout_reply};
use crate::listeners::slots::{ConnectionSlots, EvictionPriority};
use crate::listeners::timeouts::MESSAGE_TIMEOUT;
use crate::net::{LINGER, LINGER_IDLE, has_hung_up};
use admission::ConnectionId;
use async_io::{Async, Timer};
use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use http::{Method, Request};
use http1_codec::{Message, ResponseOptions, encode_response};
use query_api::MAX_HEAD_BYTES;
use std::io;
use std::net::TcpStream;
use std::rc::Rc;
use std::time::Duration;

/// Limit on reading pipelined requests while a response is outstanding: once at least this number
/// of bytes is buffered, nothing more is read.
const MAX_READ_AHEAD_BYTES: usize = MAX_HEAD_BYTES;
/// Interval at which a connection is checked for the client's disconnection while
/// [`MAX_READ_AHEAD_BYTES`] are buffered. Nothing is read then, so the disconnection cannot be
/// detected by reading.
const DISCONNECT_CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Outcome of receiving a request whose first bytes have arrived.
enum ReceiveOutcome {
    /// The request is complete or invalid.
    Received(ReceivedRequest),
    /// The connection was evicted and has to be closed.
    Evicted,
}

/// Whether a connection stays open after a response (RFC 9112, section 9.3).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Persistence {
    /// The connection stays open for the next request.
    KeepAlive,
    /// The connection has to be closed.
    Close,
}

/// How a connection has to be closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Closing {
    /// With [`linger`](crate::net::linger) and this time limit.
    Linger(Duration),
    /// Immediately: the connection was evicted and no response was sent on it, so a reset destroys
    /// none, and another connection needs its slot.
    Immediately,
}

/// One HTTP/1.1 connection.
pub(super) struct Http1Connection<'a> {
    pub(super) context: &'a Rc<ListenerContext>,
    pub(super) slots: &'a ConnectionSlots,
    stream: &'a Async<TcpStream>,
    id: ConnectionId,
    pub(super) input: RequestInput<'a>,
    pub(super) delay: InvalidRequestDelay,
    /// Whether a valid request has been served.
    pub(super) has_served: bool,
    /// Whether a response was sent.
    has_responded: bool,
}

impl<'a> Http1Connection<'a> {
    pub(super) fn new(
        context: &'a Rc<ListenerContext>,
        slots: &'a ConnectionSlots,
        stream: &'a Async<TcpStream>,
        arrival: Arrival,
    ) -> Self {
        Http1Connection {
            context,
            slots,
            stream,
            id: context.next_connection(),
            input: RequestInput::new(stream, arrival, context.slice().clone()),
            delay: InvalidRequestDelay::default(),
            has_served: false,
            has_responded: false,
        }
    }

    /// Serves requests until the connection has to be closed. Returns how the caller must close it.
    pub(super) async fn serve(&mut self) -> io::Result<Closing> {
        loop {
            if self.wait_for_delay().await == DelayOutcome::Evicted {
                return Ok(self.closing_after_eviction(LINGER));
            }
            if self.input.buffered_bytes() == 0 {
                match self.wait_for_request().await? {
                    WaitOutcome::RequestStarted => {}
                    WaitOutcome::ConnectionEnded => return Ok(Closing::Linger(LINGER_IDLE)),
                    WaitOutcome::Evicted => return Ok(self.closing_after_eviction(LINGER_IDLE)),
                }
            }
            let (message, arrival) = match self.receive_request().await {
                Ok(ReceiveOutcome::Received(ReceivedRequest::Complete { message, arrival })) => {
                    (message, arrival)
                }
                Ok(ReceiveOutcome::Received(ReceivedRequest::Invalid(error))) => {
                    return self
                        .close_with(error_reply(error.status(), error.to_string()))
                        .await;
                }
                Ok(ReceiveOutcome::Evicted) => return Ok(self.closing_after_eviction(LINGER)),
                Err(error) if error.kind() == io::ErrorKind::TimedOut => {
                    return self.close_with(request_timeout_reply()).await;
                }
                Err(error) => return Err(error),
            };
            if self.respond(&message, arrival).await? == Persistence::Close {
                return Ok(Closing::Linger(LINGER));
            }
            self.input.release_empty_buffer();
            // All connections are served by one thread. Without this, a client that always has
            // another request in the buffer would keep the thread from serving other clients.
            yield_now().await;
        }
    }

    /// Returns how a connection that was evicted has to be closed. If it may linger, `linger_time` is
    /// the time limit. During the shutdown, all idle connections are evicted, but no other
    /// connection needs their slots.
    fn closing_after_eviction(&self, linger_time: Duration) -> Closing {
        let is_shutting_down = self.context.lifecycle().phase() == Phase::Closing;
        if self.has_responded || is_shutting_down {
            Closing::Linger(linger_time)
        } else {
            Closing::Immediately
        }
    }

    /// Receives a request whose first bytes have arrived. Until the connection has served a valid
    /// request, it may be evicted meanwhile.
    async fn receive_request(&mut self) -> io::Result<ReceiveOutcome> {
        let received = async {
            let received = with_timeout(MESSAGE_TIMEOUT, self.input.read_request()).await?;
            Ok(ReceiveOutcome::Received(received))
        };
        if self.has_served {
            return received.await;
        }
        let evictable = self
            .slots
            .evictable(EvictionPriority::ReceivingFirstRequest);
        let evicted = async {
            evictable.evicted().await;
            Ok(ReceiveOutcome::Evicted)
        };
        received.or(evicted).await
    }

    /// Determines the response to a request with the given arrival, and writes it. Returns
    /// whether the connection stays open.
    async fn respond(
        &mut self,
        request: &Message<Request<Vec<u8>>>,
        arrival: Arrival,
    ) -> io::Result<Persistence> {
        let reply = self.reply_to(&request.value, arrival).await?;
        let is_serving = self.context.lifecycle().phase() == Phase::Serving;
        let options = ResponseOptions {
            version: request.value.version(),
            head_only: request.value.method() == Method::HEAD,
            keep_alive: request.keep_alive && is_serving,
        };
        let response = self.context.with_date(reply.response);
        self.has_responded = true;
        write(self.stream, &encode_response(&response, options)).await?;
        self.has_served |= reply.is_valid_request;
        self.delay.on_answered(reply.is_valid_request);
        Ok(if options.keep_alive {
            Persistence::KeepAlive
        } else {
            Persistence::Close
        })
    }

    /// Determines the reply to a request. If the request is a query, submits it and waits for its
    /// final response. The client's timeout starts when the request arrived. Fails if the client
    /// disconnects before the reply is known.
    async fn reply_to(
        &mut self,
        request: &Request<Vec<u8>>,
        arrival: Arrival,
    ) -> io::Result<Reply> {
        let query = match self.context.route(request, arrival) {
            RoutedRequest::Query(query) => query,
            RoutedRequest::Immediate(reply) => return Ok(reply),
        };
        let disconnected = wait_for_disconnect(self.stream, &mut self.input);
        let submitted = self.context.submit(self.id, query, disconnected);
        let reply = submitted.await;
        self.input.on_read_dropped();
        reply
    }

    /// Sends the reply to a request whose end is unknown. The connection has to be closed after
    /// that, because no further request can be read from it. Returns how the connection must be
    /// closed, as [`Self::serve`] does.
    async fn close_with(&self, reply: Reply) -> io::Result<Closing> {
        let response = self.context.with_date(reply.response);
        write(self.stream, &encode_response(&response, CLOSING_RESPONSE)).await?;
        Ok(Closing::Linger(LINGER))
    }
}

/// Waits until the client has disconnected, and returns an error that says how. Pipelined requests
/// are read meanwhile, until [`MAX_READ_AHEAD_BYTES`] are buffered.
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
