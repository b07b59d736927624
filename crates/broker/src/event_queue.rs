//! Queue of events between the tasks that serve sockets and the event loop, which drains it once
//! per iteration.
//!
//! The queue owns an event until it is drained. The task that submits a query holds a
//! [`QueryHandle`], whose drop before the response reports that the client has disconnected.

use crate::notify::Notify;
use admission::ConnectionId;
use async_channel::{Receiver, Sender};
use broker_types::query::{FinalResponse, QueryId, QueryRequest};
use broker_types::server::EndpointList;
use server_protocol::InvalidFrame;
use server_protocol::broker::ServerMessage;
use std::cell::{Cell, RefCell};
use std::io;

/// Something that happened since the last iteration of the event loop.
pub enum Event {
    /// A client sent a query.
    QueryReceived(ReceivedQuery),
    /// The client of a query closed its connection or cancelled the query.
    ClientDisconnected {
        /// Number of the query.
        query: QueryId,
    },
    /// Something happened on a connection to a data server.
    ServerConnection {
        /// Number of the connection.
        connection: ServerConnectionId,
        /// What happened.
        event: ConnectionEvent,
    },
    /// Discovery sent a list of endpoints, or changes to it.
    EndpointsUpdated(EndpointList),
    /// The configuration is to be read again.
    ReloadRequested,
    /// The program is to shut down.
    ShutdownRequested,
}

/// A query from a client, not yet admitted.
pub struct ReceivedQuery {
    /// Number of the query.
    pub id: QueryId,
    /// The client's connection.
    pub connection: ConnectionId,
    /// What the client asks for.
    pub request: QueryRequest,
    /// Where the one final response goes.
    pub reply: Sender<FinalResponse>,
}

/// Number of a connection to a data server. It is never used twice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ServerConnectionId(pub u64);

/// Something that happened on a connection to a data server.
pub enum ConnectionEvent {
    /// A whole frame was received.
    FrameReceived(ServerMessage),
    /// A part of a frame was received; the rest is outstanding.
    FrameStarted,
    /// The connection was closed, or could not be opened.
    Closed(io::Error),
    /// A frame could not be decoded. The connection is closed: the start of the next frame is
    /// unknown.
    FrameInvalid(InvalidFrame),
}

/// The queue of events. Its length is bounded by its producers: each client connection has a
/// limited number of queries in flight, and a data server connection only answers the attempts that
/// are in flight on it.
pub struct EventQueue {
    events: RefCell<Vec<Event>>,
    /// Wakes the event loop.
    wake_up: Notify,
    next_query: Cell<QueryId>,
    /// Number of queries among the queued events.
    pending_queries: Cell<usize>,
}

impl Default for EventQueue {
    fn default() -> Self {
        EventQueue {
            events: RefCell::default(),
            wake_up: Notify::new(),
            next_query: Cell::new(QueryId(1)),
            pending_queries: Cell::new(0),
        }
    }
}

impl EventQueue {
    /// Appends an event and wakes the event loop.
    pub fn push(&self, event: Event) {
        self.events.borrow_mut().push(event);
        self.wake_up.notify_one();
    }

    /// Submits a query. Its final response arrives at the returned handle, once, unless that is
    /// dropped before.
    pub fn submit_query(&self, connection: ConnectionId, request: QueryRequest) -> QueryHandle<'_> {
        let id = self.next_query.get();
        self.next_query.set(QueryId(id.0 + 1));
        let (reply, response) = async_channel::bounded(1);
        self.pending_queries.set(self.pending_queries.get() + 1);
        self.push(Event::QueryReceived(ReceivedQuery {
            id,
            connection,
            request,
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
        std::mem::take(&mut *self.events.borrow_mut())
    }

    /// Number of queries that are queued.
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

/// A query that was submitted to the event loop. Dropping the handle before the response has
/// arrived reports that the client has disconnected.
pub struct QueryHandle<'a> {
    queue: &'a EventQueue,
    id: QueryId,
    response: Receiver<FinalResponse>,
}

impl QueryHandle<'_> {
    /// Waits for the final response.
    pub async fn response(&self) -> FinalResponse {
        self.response.recv().await.unwrap_or(FinalResponse::Failed)
    }
}

impl Drop for QueryHandle<'_> {
    fn drop(&mut self) {
        // The event loop closes the channel when it sends the response: afterwards the query is no
        // longer in flight.
        if !self.response.is_closed() {
            self.queue
                .push(Event::ClientDisconnected { query: self.id });
        }
    }
}

#[cfg(test)]
mod tests;
