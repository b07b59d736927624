//! The steps of a request that are the same in every version of HTTP: routing, submitting a query, and mapping its final
//! response to HTTP.

use super::context::ListenerContext;
use super::lifecycle::Phase;
use admission::ConnectionId;
use broker_types::query::{FinalResponse, QueryRequest};
use futures_lite::FutureExt;
use http::Request;
use http::header::{DATE, HeaderValue};
use query_api::{
    Response, Routed, connection_rejected, date_header_value, encode_final_response, route,
};
use std::cell::RefCell;
use std::time::{Duration, Instant, SystemTime};

/// Resolution of the `Date` field (RFC 9110, section 5.6.7).
const DATE_RESOLUTION: Duration = Duration::from_secs(1);

/// The response to a request.
pub(super) struct Reply {
    pub(super) response: Response,
    /// Whether the request was valid, so that its client is unlikely to be a faulty or misbehaving one.
    pub(super) is_valid_request: bool,
}

/// What remains to be done for a request.
pub(super) enum RoutedRequest {
    /// A query, which has to be submitted.
    Query(QueryRequest),
    /// The response is known: the request is a readiness check, invalid, or rejected.
    Replied(Reply),
}

impl ListenerContext {
    /// Decodes a complete request.
    pub(super) fn route(&self, request: &Request<Vec<u8>>) -> RoutedRequest {
        let phase = self.lifecycle().phase();
        let is_ready = phase == Phase::Serving;
        match route(request, is_ready, &self.names, &self.settings) {
            // It might not finish before the program exits.
            Routed::Query(_) if phase == Phase::Closing => RoutedRequest::Replied(Reply {
                response: self.rejection(),
                is_valid_request: true,
            }),
            Routed::Query(query) => RoutedRequest::Query(query),
            Routed::Immediate {
                response,
                is_valid_request,
            } => RoutedRequest::Replied(Reply {
                response,
                is_valid_request,
            }),
        }
    }

    /// Submits a query at once. The returned future waits for its final response. If the client disconnects first, the
    /// query is cancelled and the output of `client_disconnected` is returned.
    pub(super) fn submit<'a, E: 'a>(
        &'a self,
        connection: ConnectionId,
        query: QueryRequest,
        client_disconnected: impl Future<Output = E> + 'a,
    ) -> impl Future<Output = Result<Reply, E>> + 'a {
        // Dropped before the response, the handle reports the disconnection to the event loop.
        let handle = self.events.submit_query(connection, query);
        let reply = async move {
            let final_response = handle.response().await;
            Ok(Reply {
                is_valid_request: !matches!(final_response, FinalResponse::Invalid { .. }),
                response: encode_final_response(&final_response),
            })
        };
        let cancelled = async { Err(client_disconnected.await) };
        reply.or(cancelled)
    }

    /// The response to a client for which there is no capacity.
    pub(super) fn rejection(&self) -> Response {
        connection_rejected(&self.settings)
    }

    /// Adds the `Date` field, which holds the time at which a response was generated (RFC 9110, section 6.6.1).
    pub(super) fn with_date(&self, mut response: Response) -> Response {
        response.headers_mut().insert(DATE, self.date.now());
        response
    }
}

/// The reply to a request that is invalid for the given reason.
pub(super) fn error_reply(status: u16, reason: impl Into<String>) -> Reply {
    let reason = reason.into();
    Reply {
        response: encode_final_response(&FinalResponse::Invalid { status, reason }),
        is_valid_request: false,
    }
}

/// The reply to a request that was not received in time.
pub(super) fn request_timeout_reply() -> Reply {
    error_reply(408, "the request did not come in time")
}

/// The value of the `Date` field, formatted once a second.
pub(super) struct DateHeader {
    cached: RefCell<CachedDate>,
}

struct CachedDate {
    value: HeaderValue,
    formatted_at: Instant,
}

impl CachedDate {
    fn new() -> Self {
        CachedDate {
            formatted_at: Instant::now(),
            value: date_header_value(SystemTime::now()),
        }
    }
}

impl DateHeader {
    pub(super) fn new() -> Self {
        DateHeader {
            cached: RefCell::new(CachedDate::new()),
        }
    }

    fn now(&self) -> HeaderValue {
        let mut cached = self.cached.borrow_mut();
        if cached.formatted_at.elapsed() >= DATE_RESOLUTION {
            *cached = CachedDate::new();
        }
        cached.value.clone()
    }
}
