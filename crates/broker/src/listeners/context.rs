//! State and functions shared by the connections of all listeners: the queue of the event loop, the
//! settings with which requests are decoded, and the steps of processing a request that are the
//! same in all versions of HTTP.

use super::arrival::Arrival;
use super::date::DateHeader;
use super::lifecycle::{Lifecycle, Phase};
use super::reply::{Reply, final_reply};
use super::request_timing::{RequestTiming, RequestTimings};
use crate::clock::Clock;
use crate::event_queue::EventQueue;
use crate::executor::CurrentSlice;
use admission::ConnectionId;
use broker_types::query::{Names, QueryRequest};
use fanout_policy::api::Settings;
use futures_lite::FutureExt;
use http::Request;
use http::header::DATE;
use query_api::{Readiness, Response, Routed, connection_rejected, route};
use std::cell::Cell;
use std::rc::Rc;
use std::time::Instant;
use tracing::info;

/// State shared by the connections of all listeners.
pub struct ListenerContext {
    events: Rc<EventQueue>,
    settings: Settings,
    names: Names,
    clock: Clock,
    date: DateHeader,
    lifecycle: Lifecycle,
    timings: RequestTimings,
    slice: CurrentSlice,
    /// Identifier of the connection that was opened last.
    last_connection: Cell<ConnectionId>,
}

/// A query that has been decoded.
pub(super) struct DecodedQuery {
    pub(super) request: QueryRequest,
    /// When its last byte arrived at the earliest.
    pub(super) arrived_at: Instant,
    /// When it was decoded.
    pub(super) decoded_at: Instant,
}

/// Next step for a request that has been decoded.
pub(super) enum RoutedRequest {
    /// The request is a query, which has to be submitted to the event loop.
    Query(DecodedQuery),
    /// The reply is known without the event loop, because the request is no query, is invalid or is
    /// rejected.
    Immediate(Reply),
}

impl ListenerContext {
    /// Creates the context of a broker that serves queries and submits them to `events`.
    /// `slice` is that of the executor that runs the connections' tasks.
    pub fn new(
        events: Rc<EventQueue>,
        settings: Settings,
        names: Names,
        clock: Clock,
        slice: CurrentSlice,
    ) -> Rc<Self> {
        Rc::new(ListenerContext {
            events,
            settings,
            names,
            clock,
            date: DateHeader::new(),
            lifecycle: Lifecycle::new(),
            timings: RequestTimings::default(),
            slice,
            last_connection: Cell::new(ConnectionId::default()),
        })
    }

    /// Returns the program's clock.
    pub(super) fn clock(&self) -> Clock {
        self.clock
    }

    /// Returns the broker's lifecycle, which holds the current phase and notifies of its changes.
    pub(super) fn lifecycle(&self) -> &Lifecycle {
        &self.lifecycle
    }

    /// Returns the record of what requests waited for.
    pub(super) fn timings(&self) -> &RequestTimings {
        &self.timings
    }

    /// Returns the time slice of whichever connection's task runs.
    pub(super) fn slice(&self) -> &CurrentSlice {
        &self.slice
    }

    /// Assigns an identifier to a new connection.
    pub(super) fn next_connection(&self) -> ConnectionId {
        let id = ConnectionId(self.last_connection.get().0 + 1);
        self.last_connection.set(id);
        id
    }

    /// Decodes a complete request with the given arrival and determines the next step.
    pub(super) fn route(&self, request: &Request<Vec<u8>>, arrival: Arrival) -> RoutedRequest {
        let started_at = Instant::now();
        let phase = self.lifecycle.phase();
        let readiness = match phase {
            Phase::Serving => Readiness::Ready,
            Phase::Draining | Phase::Closing => Readiness::NotReady,
        };
        let routed = route(request, readiness, &self.names, &self.settings);
        let decoded_at = Instant::now();
        let timing = RequestTiming::new(arrival, started_at, decoded_at);
        self.timings.on_request_decoded(timing, &routed);
        match routed {
            // The query might not finish before the program exits.
            Routed::Query(_) if phase == Phase::Closing => RoutedRequest::Immediate(Reply {
                response: self.rejection(),
                is_valid_request: true,
            }),
            Routed::Query(request) => {
                let query = DecodedQuery {
                    request,
                    arrived_at: arrival.arrived_at,
                    decoded_at,
                };
                match self.reply_if_expired(&query, timing) {
                    Some(reply) => RoutedRequest::Immediate(reply),
                    None => RoutedRequest::Query(query),
                }
            }
            Routed::Immediate {
                response,
                is_valid_request,
            } => RoutedRequest::Immediate(Reply {
                response,
                is_valid_request,
            }),
        }
    }

    /// Returns the reply to a query if its client's timeout has passed already. Such a query is rejected without the event loop, so that a connection with many of
    /// them does not wait for an iteration for each.
    fn reply_if_expired(&self, query: &DecodedQuery, timing: RequestTiming) -> Option<Reply> {
        let client_timeout = query.request.client_timeout;
        let waited = query.decoded_at - query.arrived_at;
        if waited < client_timeout {
            return None;
        }
        info!(
            name: "query_expired_unread", id = %query.request.id, waited_ms = waited.as_millis() as u64,
            client_timeout_ms = client_timeout.as_millis() as u64,
            backlog_ms = timing.backlog.as_millis() as u64,
            delay_ms = timing.delay.as_millis() as u64,
            run_queue_ms = timing.run_queue.as_millis() as u64,
            decoding_us = timing.decoding.as_micros() as u64
        );
        Some(Reply {
            response: self.rejection(),
            is_valid_request: true,
        })
    }

    /// Submits a query immediately, before the returned future is
    /// polled. The future waits for the query's final response. If `client_disconnected` completes
    /// first, the query is cancelled, and the future returns the output of `client_disconnected` as
    /// an error.
    pub(super) fn submit<'a, E: 'a>(
        &'a self,
        connection: ConnectionId,
        query: DecodedQuery,
        client_disconnected: impl Future<Output = E> + 'a,
    ) -> impl Future<Output = Result<Reply, E>> + 'a {
        // If the handle is dropped before the response has arrived, it reports the disconnection to
        // the event loop, which cancels the query.
        let handle = self.events.submit_query(
            connection,
            query.request,
            self.clock.timestamp(query.arrived_at),
            self.clock.timestamp(query.decoded_at),
        );
        let reply = async move { Ok(final_reply(&handle.response().await)) };
        let cancelled = async { Err(client_disconnected.await) };
        reply.or(cancelled)
    }

    /// Returns the response to a client that is rejected, because no connection slot is free, the
    /// broker is shutting down or the client's timeout has passed.
    pub(super) fn rejection(&self) -> Response {
        connection_rejected(&self.settings)
    }

    /// Returns the response with a `Date` field, which holds the time at which the response was
    /// generated (RFC 9110, section 6.6.1).
    pub(super) fn with_date(&self, mut response: Response) -> Response {
        response.headers_mut().insert(DATE, self.date.now());
        response
    }
}
