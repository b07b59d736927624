//! What the connections of all listeners share: the way to the event loop, the settings by which
//! requests are decoded, and the steps of a request that are the same in every version of HTTP.

use super::date::DateHeader;
use super::lifecycle::{Lifecycle, Phase};
use super::reply::{Reply, final_reply};
use crate::clock::Clock;
use crate::event_queue::EventQueue;
use admission::ConnectionId;
use broker_types::query::{Names, QueryRequest};
use fanout_policy::api::Settings;
use futures_lite::FutureExt;
use http::Request;
use http::header::DATE;
use query_api::{Readiness, Response, Routed, connection_rejected, route};
use std::cell::Cell;
use std::rc::Rc;

/// What the connections of all listeners share.
pub struct ListenerContext {
    events: Rc<EventQueue>,
    settings: Settings,
    names: Names,
    clock: Clock,
    date: DateHeader,
    lifecycle: Lifecycle,
    last_connection: Cell<ConnectionId>,
}

/// What remains to be done for a request.
pub(super) enum RoutedRequest {
    /// A query, which has to be submitted.
    Query(QueryRequest),
    /// The response is known: the request is a readiness check, invalid, or rejected.
    Replied(Reply),
}

impl ListenerContext {
    /// Creates the context of a broker that serves queries and submits them to `events`.
    pub fn new(events: Rc<EventQueue>, settings: Settings, names: Names, clock: Clock) -> Rc<Self> {
        Rc::new(ListenerContext {
            events,
            settings,
            names,
            clock,
            date: DateHeader::new(),
            lifecycle: Lifecycle::new(),
            last_connection: Cell::new(ConnectionId::default()),
        })
    }

    /// The program's clock.
    pub(super) fn clock(&self) -> Clock {
        self.clock
    }

    /// The phase of the broker's life.
    pub(super) fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    /// Assigns an identifier to a new connection.
    pub(super) fn next_connection(&self) -> ConnectionId {
        let id = ConnectionId(self.last_connection.get().0 + 1);
        self.last_connection.set(id);
        id
    }

    /// Decodes a complete request.
    pub(super) fn route(&self, request: &Request<Vec<u8>>) -> RoutedRequest {
        let phase = self.lifecycle.phase();
        let readiness = match phase {
            Phase::Serving => Readiness::Ready,
            Phase::Draining | Phase::Closing => Readiness::NotReady,
        };
        match route(request, readiness, &self.names, &self.settings) {
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

    /// Submits a query at once. The returned future waits for its final response. If the client
    /// disconnects first, the query is cancelled and the output of `client_disconnected` is
    /// returned.
    pub(super) fn submit<'a, E: 'a>(
        &'a self,
        connection: ConnectionId,
        query: QueryRequest,
        client_disconnected: impl Future<Output = E> + 'a,
    ) -> impl Future<Output = Result<Reply, E>> + 'a {
        // Dropped before the response, the handle reports the disconnection to the event loop.
        let handle = self.events.submit_query(connection, query);
        let reply = async move { Ok(final_reply(&handle.response().await)) };
        let cancelled = async { Err(client_disconnected.await) };
        reply.or(cancelled)
    }

    /// The response to a client for which there is no capacity.
    pub(super) fn rejection(&self) -> Response {
        connection_rejected(&self.settings)
    }

    /// Adds the `Date` field, which holds the time at which a response was generated (RFC 9110,
    /// section 6.6.1).
    pub(super) fn with_date(&self, mut response: Response) -> Response {
        response.headers_mut().insert(DATE, self.date.now());
        response
    }
}
