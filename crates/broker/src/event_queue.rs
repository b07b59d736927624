//! The queue of events for the event loop. The tasks that serve sockets and signals append events,
//! and the event loop drains the queue once per iteration.
//!
//! The queue owns an event until it is drained. The task that submits a query holds a
//! [`QueryHandle`]. If it drops the handle before the final response has been sent, the query is
//! removed from the queue or, if it was drained before, the queue receives an event that the client
//! has disconnected.

use crate::notify::Notify;
use admission::ConnectionId;
use async_channel::{Receiver, Sender};
use broker_types::query::{FinalResponse, QueryId, QueryRequest};
use broker_types::server::EndpointList;
use broker_types::time::Timestamp;
use std::cell::{Cell, RefCell};
use std::io;

/// An event for the next iteration of the event loop.
pub enum Event {
    /// A client sent a query.
    QueryReceived(ReceivedQuery),
    /// The client of a query closed its connection or cancelled the query.
    ClientDisconnected {
        /// Id of the query.
        query: QueryId,
    },
    /// A connection to a data server received data, was closed or could not be opened.
    ServerConnection {
        /// Id of the connection.
        connection: ServerConnectionId,
        /// The event on this connection.
        event: ConnectionEvent,
    },
    /// Discovery sent the full endpoint list, or changes to it.
    EndpointsUpdated(EndpointList),
    /// SIGHUP was received: the configuration must be reloaded.
    ReloadRequested,
    /// SIGTERM or SIGINT was received, or receiving a signal failed: the program must shut down.
    ShutdownRequested,
}

/// A query that was received from a client and has not been admitted yet.
pub struct ReceivedQuery {
    /// Id of the query.
    pub id: QueryId,
    /// Id of the client's connection.
    pub connection: ConnectionId,
    /// The client's request.
    pub request: QueryRequest,
    /// When the last byte of the request arrived. The client's timeout starts at this time.
    pub arrived_at: Timestamp,
    /// When the query was queued.
    pub queued_at: Timestamp,
    /// Channel for the final response. Exactly one response may be sent.
    pub reply: Sender<FinalResponse>,
}

/// Id of a connection to a data server. An id is never reused.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerConnectionId(pub u64);

/// An event on a connection to a data server.
pub enum ConnectionEvent {
    /// Bytes were received and wait in the connection's receive buffer. While this event is queued,
    /// further bytes are not reported again.
    DataReceived,
    /// The connection was closed, or could not be opened.
    Closed(io::Error),
}

/// The queue of events. It has no limit of its own, because each of its producers bounds the number
/// of its events, whatever clients and servers send:
///
/// - each client connection has a limited number of queries in flight, and a query is removed from
///   the queue when its handle is dropped;
/// - each connection to a data server has at most one [`ConnectionEvent::DataReceived`] and one
///   [`ConnectionEvent::Closed`] in the queue;
/// - the watch of the endpoint list waits until its last list was removed from the queue;
/// - signals come from the platform, which clients and servers cannot cause to send any.
pub struct EventQueue {
    events: RefCell<Vec<Event>>,
    /// Wakes the event loop.
    wake_up: Notify,
    next_query: Cell<QueryId>,
    /// Number of queries among the queued events.
    pending_queries: Cell<usize>,
    /// Notified when the event loop has removed the events.
    drained: event_listener::Event,
}

impl Default for EventQueue {
    fn default() -> Self {
        EventQueue {
            events: RefCell::default(),
            wake_up: Notify::new(),
            next_query: Cell::new(QueryId(1)),
            pending_queries: Cell::new(0),
            drained: event_listener::Event::new(),
        }
    }
}

impl EventQueue {
    /// Appends an event and wakes the event loop.
    pub fn push(&self, event: Event) {
        self.events.borrow_mut().push(event);
        self.wake_up.notify_one();
    }

    /// Submits a query whose request arrived at `arrived_at`, and that is queued at `now`. The returned handle
    /// receives the one final response. Dropping the handle before the response has been sent
    /// abandons the query.
    pub fn submit_query(
        &self,
        connection: ConnectionId,
        request: QueryRequest,
        arrived_at: Timestamp,
        now: Timestamp,
    ) -> QueryHandle<'_> {
        let id = self.next_query.get();
        self.next_query.set(QueryId(id.0 + 1));
        let (reply, response) = async_channel::bounded(1);
        self.pending_queries.set(self.pending_queries.get() + 1);
        self.push(Event::QueryReceived(ReceivedQuery {
            id,
            connection,
            request,
            arrived_at,
            queued_at: now,
            reply,
        }));
        QueryHandle {
            queue: self,
            id,
            response,
        }
    }

    /// Removes and returns all events.
    pub fn drain(&self) -> Vec<Event> {
        self.wake_up.clear();
        self.pending_queries.set(0);
        self.drained.notify(usize::MAX);
        std::mem::take(&mut *self.events.borrow_mut())
    }

    /// Appends an event and waits until the event loop has removed it.
    pub async fn push_and_wait(&self, event: Event) {
        let drained = self.drained.listen();
        self.push(event);
        drained.await;
    }

    /// Ends a query whose handle was dropped before its response was sent. Removes the query if it
    /// is still queued, so that clients that disconnect right after their requests cannot fill the
    /// queue; otherwise reports the disconnection.
    fn abandon_query(&self, id: QueryId) {
        let is_query =
            |event: &Event| matches!(event, Event::QueryReceived(query) if query.id == id);
        let mut events = self.events.borrow_mut();
        if let Some(index) = events.iter().rposition(is_query) {
            events.remove(index);
            self.pending_queries.set(self.pending_queries.get() - 1);
        } else {
            drop(events);
            self.push(Event::ClientDisconnected { query: id });
        }
    }

    /// Returns the number of queries in the queue, which the event loop has not received yet.
    pub fn pending_queries(&self) -> usize {
        self.pending_queries.get()
    }

    /// Waits until the queue holds an event.
    pub async fn wait(&self) {
        if self.events.borrow().is_empty() {
            self.wake_up.notified().await;
        }
    }
}

/// A handle of a query that was submitted to the event loop. Dropping the handle before the final
/// response has been sent abandons the query, because its client has disconnected.
pub struct QueryHandle<'a> {
    queue: &'a EventQueue,
    id: QueryId,
    response: Receiver<FinalResponse>,
}

impl QueryHandle<'_> {
    /// Waits for the final response. Returns [`FinalResponse::Failed`] if the event loop drops the
    /// query without a response.
    pub async fn response(&self) -> FinalResponse {
        self.response.recv().await.unwrap_or(FinalResponse::Failed)
    }
}

impl Drop for QueryHandle<'_> {
    fn drop(&mut self) {
        // The event loop drops its sender, which closes the channel, when it sends the response. A
        // closed channel therefore means that the query is no longer in flight.
        if !self.response.is_closed() {
            self.queue.abandon_query(self.id);
        }
    }
}

#[cfg(test)]
mod tests;
