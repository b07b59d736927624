//! One HTTP/2 stream: receives the request, submits its query and sends the response.

use super::request_body::{ReceivedBody, check_authority, receive_body};
use crate::clock::with_timeout;
use crate::listeners::arrival::{Arrival, LastArrival};
use crate::listeners::context::{ListenerContext, RoutedRequest};
use crate::listeners::invalid_request_delay::InvalidRequestDelay;
use crate::listeners::reply::{Reply, error_reply, request_timeout_reply};
use crate::listeners::timeouts::MESSAGE_TIMEOUT;
use admission::ConnectionId;
use async_io::Timer;
use bytes::Bytes;
use futures_lite::FutureExt;
use h2::server::SendResponse;
use h2::{Reason, RecvStream, SendStream};
use http::header::{CONTENT_LENGTH, HeaderValue};
use http::request::Parts;
use http::{Method, Request, Response};
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};
use thiserror::Error;
use tracing::warn;

/// Minimum time that a client has to read a response, even if its timeout has already passed.
const MIN_SEND_TIME: Duration = Duration::from_millis(250);
/// Maximum number of body bytes that are passed to the `h2` library at a time. Without this limit,
/// the library would buffer a second copy of all body bytes that a slow client has not read yet.
const SEND_CHUNK_BYTES: usize = 16 * 1024;

/// Outcome of a stream.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct StreamOutcome {
    /// Length in bytes of the response body that was sent. `None` if no complete response was sent,
    /// because the stream was closed or the client did not read the response in time.
    pub(super) sent_body_bytes: Option<usize>,
    /// Whether the request was valid; see [`Reply::is_valid_request`].
    pub(super) is_valid_request: bool,
}

impl StreamOutcome {
    /// Outcome if the client cancelled the stream before its request was complete.
    const REQUEST_CANCELLED: StreamOutcome = StreamOutcome {
        sent_body_bytes: None,
        is_valid_request: false,
    };
    /// Outcome if the client cancelled the stream while its query was in flight.
    const QUERY_CANCELLED: StreamOutcome = StreamOutcome {
        sent_body_bytes: None,
        is_valid_request: true,
    };
}

/// A reply that has to be sent.
struct PendingReply {
    reply: Reply,
    /// Time until which the response may be sent; see [`OutgoingResponse::send`]. For a query, the
    /// end of the client's timeout.
    deadline: Instant,
}

/// A stream that the client has opened. The head of its request has been received, and no response
/// has been sent.
pub(super) struct NewStream {
    request: Request<RecvStream>,
    respond: SendResponse<Bytes>,
    last_arrival: LastArrival,
}

impl NewStream {
    pub(super) fn new(
        request: Request<RecvStream>,
        respond: SendResponse<Bytes>,
        last_arrival: LastArrival,
    ) -> Self {
        NewStream {
            request,
            respond,
            last_arrival,
        }
    }

    /// Resets the stream with `REFUSED_STREAM`. The client may retry the request on another
    /// connection (RFC 9113, section 8.7).
    pub(super) fn refuse(mut self) {
        self.respond.send_reset(Reason::REFUSED_STREAM);
    }

    /// Serves the stream until it ends. `delay` is that of the connection.
    pub(super) async fn serve(
        self,
        context: Rc<ListenerContext>,
        connection: ConnectionId,
        delay: Rc<InvalidRequestDelay>,
    ) -> StreamOutcome {
        let NewStream {
            request,
            mut respond,
            last_arrival,
        } = self;
        let opened_at = Instant::now();
        let (head, mut body) = request.into_parts();
        let body_policy = BodyPolicy::for_method(&head.method);
        let receive = receive_body(&mut body, &head.headers);
        let received = with_timeout(MESSAGE_TIMEOUT, receive).await;
        let mut arrival = last_arrival.get();
        arrival.delayed_until = delay.wait().await;
        // A connection has many streams, and a request may take long to decode.
        context.slice().yield_if_used_up().await;
        let pending = match route(&context, head, received, arrival) {
            Ok(RoutedRequest::Query(query)) => {
                let deadline = query.arrived_at + query.request.client_timeout;
                let reset = poll_fn(|cx| respond.poll_reset(cx));
                match context.submit(connection, query, reset).await {
                    Ok(reply) => PendingReply { reply, deadline },
                    Err(_reset) => return StreamOutcome::QUERY_CANCELLED,
                }
            }
            Ok(RoutedRequest::Immediate(reply)) => PendingReply {
                reply,
                deadline: opened_at + MESSAGE_TIMEOUT,
            },
            Err(_cancelled) => return StreamOutcome::REQUEST_CANCELLED,
        };
        let is_valid_request = pending.reply.is_valid_request;
        delay.on_answered(is_valid_request);
        let response = context.with_date(pending.reply.response);
        let response = OutgoingResponse::new(response, body_policy);
        let sent_body_bytes = match response.send(respond, body, pending.deadline).await {
            Ok(body_bytes) => Some(body_bytes),
            Err(SendError::DeadlineExceeded { body_bytes }) => {
                warn!(name: "http2_reader_stalled", connection = connection.0, body_bytes);
                None
            }
            Err(SendError::StreamClosed) => None,
        };
        StreamOutcome {
            sent_body_bytes,
            is_valid_request,
        }
    }
}

/// Determines the next step for a request from its head, the result of receiving its body and the
/// time of its arrival. The request is dropped here, so that it uses no memory while its query is
/// processed. Returns an error if the client cancelled the stream.
fn route(
    context: &ListenerContext,
    head: Parts,
    received: io::Result<ReceivedBody>,
    arrival: Arrival,
) -> io::Result<RoutedRequest> {
    let reply = match received {
        Ok(ReceivedBody::Complete(bytes)) => {
            let request = Request::from_parts(head, bytes);
            match check_authority(&request) {
                Ok(()) => return Ok(context.route(&request, arrival)),
                Err(error) => error_reply(400, error.to_string()),
            }
        }
        Ok(ReceivedBody::TooLong) => error_reply(413, "the body is too long"),
        Err(error) if error.kind() == io::ErrorKind::TimedOut => request_timeout_reply(),
        Err(error) => return Err(error),
    };
    Ok(RoutedRequest::Immediate(reply))
}

/// Whether the body of a response is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum BodyPolicy {
    /// The body is sent.
    Send,
    /// Only the head is sent. It declares the length that the body would have.
    Omit,
}

impl BodyPolicy {
    /// Returns the policy for the response to a request with the given method.
    fn for_method(method: &Method) -> Self {
        if method == Method::HEAD {
            BodyPolicy::Omit
        } else {
            BodyPolicy::Send
        }
    }
}

/// A response in the form in which it is passed to the `h2` library.
struct OutgoingResponse {
    head: Response<()>,
    /// Empty if the body is omitted.
    body: Vec<u8>,
}

impl OutgoingResponse {
    /// Adds the length of the body to the head of the response, and drops the body if it is not to
    /// be sent.
    fn new(response: query_api::Response, body_policy: BodyPolicy) -> Self {
        let (mut head, body) = response.into_parts();
        head.headers
            .insert(CONTENT_LENGTH, HeaderValue::from(body.len()));
        OutgoingResponse {
            head: Response::from_parts(head, ()),
            body: match body_policy {
                BodyPolicy::Send => body,
                BodyPolicy::Omit => Vec::new(),
            },
        }
    }

    /// Sends the response and returns the length of the body that was sent, in bytes.
    /// `request_body` is the stream from which the request's body was received, which may be
    /// incomplete. The client has until `deadline` to read the response, but at least
    /// [`MIN_SEND_TIME`]; after that the stream is reset.
    async fn send(
        self,
        mut respond: SendResponse<Bytes>,
        request_body: RecvStream,
        deadline: Instant,
    ) -> Result<usize, SendError> {
        let body_bytes = self.body.len();
        let mut sender = respond
            .send_response(self.head, self.body.is_empty())
            .map_err(|_| SendError::StreamClosed)?;
        // Dropped after the head is sent: the rest of the request, if any, is not needed (RFC 9113,
        // section 8.1).
        drop(request_body);
        let deadline = deadline.max(Instant::now() + MIN_SEND_TIME);
        let expired = async {
            Timer::at(deadline).await;
            Err(SendError::DeadlineExceeded { body_bytes })
        };
        let sent = send_body(&mut sender, self.body).or(expired).await;
        if let Err(SendError::DeadlineExceeded { .. }) = sent {
            sender.send_reset(Reason::CANCEL);
        }
        sent.map(|()| body_bytes)
    }
}

/// Reason why a response was not sent completely.
#[derive(Debug, Error)]
enum SendError {
    /// The client did not open its flow-control window in time.
    #[error("the client did not read the response in time")]
    DeadlineExceeded {
        /// Length of the whole response body.
        body_bytes: usize,
    },
    /// The stream was reset, or the connection closed.
    #[error("the stream was closed")]
    StreamClosed,
}

/// Sends a body in chunks, whenever the client's flow-control windows have room. Returns once the
/// `h2` library has accepted all of it.
async fn send_body(sender: &mut SendStream<Bytes>, body: Vec<u8>) -> Result<(), SendError> {
    let mut rest = Bytes::from(body);
    while !rest.is_empty() {
        sender.reserve_capacity(rest.len().min(SEND_CHUNK_BYTES));
        let capacity = match poll_fn(|cx| sender.poll_capacity(cx)).await {
            Some(Ok(capacity)) => capacity,
            Some(Err(_)) | None => return Err(SendError::StreamClosed),
        };
        let chunk = rest.split_to(capacity.min(rest.len()));
        let is_last = rest.is_empty();
        sender
            .send_data(chunk, is_last)
            .map_err(|_| SendError::StreamClosed)?;
    }
    Ok(())
}
