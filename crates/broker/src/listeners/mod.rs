//! Listeners for client connections over HTTP/1.1 and HTTP/2.
//!
//! The listeners read requests, decode them with `query_api`, submit the queries to the
//! [`EventQueue`](crate::event_queue::EventQueue), and write one final response to each request.
//! They share a [`ListenerContext`].

mod accept;
mod arrival;
mod context;
mod date;
mod http1;
mod http2;
mod invalid_request_delay;
mod lifecycle;
mod reply;
mod request_timing;
mod slots;
mod timeouts;

pub use context::ListenerContext;

use crate::executor::Executor;
use accept::{ConnectionHandler, ListeningSocket, accept_backlog, accept_connections};
use admission::resource_limits::ListenerLimits;
use async_executor::Task;
use async_io::Async;
use broker_types::time::Timestamp;
use http1::Http1Listener;
use http2::Http2Listener;
use lifecycle::Phase;
use std::net::TcpListener;
use std::rc::Rc;
use std::time::Duration;

/// Sockets and limits of the listeners.
pub struct ListenerConfig {
    /// Listening socket for HTTP/1.1.
    pub http1: Async<TcpListener>,
    /// Listening socket for HTTP/2, if that is enabled.
    pub http2: Option<Async<TcpListener>>,
    /// Limits on connections, streams and memory.
    pub limits: ListenerLimits,
}

/// One listener with the task that accepts its connections.
struct Listener<H> {
    handler: Rc<H>,
    /// `None` once the listener is closed. The operating system then refuses new connections.
    accepting: Option<Accepting>,
}

/// A listening socket and the task that accepts connections on it.
struct Accepting {
    task: Task<()>,
    socket: Rc<ListeningSocket>,
}

impl<H: ConnectionHandler> Listener<H> {
    /// Starts the task that accepts connections on `socket`. Each of them is served by `handler`.
    fn start(handler: H, socket: Async<TcpListener>, executor: &Rc<Executor>) -> Self {
        let handler = Rc::new(handler);
        let socket = Rc::new(ListeningSocket::new(socket));
        let task = executor.spawn(accept_connections(
            handler.clone(),
            socket.clone(),
            executor.clone(),
        ));
        Listener {
            handler,
            accepting: Some(Accepting { task, socket }),
        }
    }

    /// Closes the listening socket. The connections in its backlog are accepted first.
    async fn close(&mut self, executor: &Executor) {
        if let Some(Accepting { task, socket }) = self.accepting.take() {
            task.cancel().await;
            accept_backlog(&self.handler, &socket, executor);
        }
    }
}

/// The listeners for client connections.
pub struct ClientListeners {
    context: Rc<ListenerContext>,
    executor: Rc<Executor>,
    http1: Listener<Http1Listener>,
    http2: Option<Listener<Http2Listener>>,
}

impl ClientListeners {
    /// Starts to accept connections. The HTTP/2 listener is started only if both its socket and its
    /// limits are configured.
    pub fn start(
        context: Rc<ListenerContext>,
        config: ListenerConfig,
        executor: Rc<Executor>,
    ) -> Self {
        let http1 = Http1Listener::new(context.clone(), config.limits.max_http1_connections);
        let http1 = Listener::start(http1, config.http1, &executor);
        let http2 = config
            .http2
            .zip(config.limits.http2)
            .map(|(socket, limits)| {
                let handler = Http2Listener::new(context.clone(), limits);
                Listener::start(handler, socket, &executor)
            });
        ClientListeners {
            context,
            executor,
            http1,
            http2,
        }
    }

    /// Applies the limits that can change at runtime: those that apply to each future HTTP/2
    /// connection. The maximum numbers of connections stay as they are.
    pub fn set_limits(&self, limits: ListenerLimits) {
        if let (Some(http2), Some(limits)) = (&self.http2, limits.http2) {
            http2.handler.set_limits(limits);
        }
    }

    /// Starts to drain. From then on readiness checks fail, each HTTP/1.1 connection is closed
    /// after its next response, and each HTTP/2 connection is shut down gracefully. Requests that
    /// still arrive are served.
    pub fn start_draining(&self) {
        self.context.lifecycle().set_phase(Phase::Draining);
    }

    /// Closes the listening sockets and the idle HTTP/1.1 connections. The connections in the
    /// sockets' backlogs are accepted first. HTTP/2 connections are not closed here, because they
    /// start graceful shutdown themselves once the phase is no longer `Phase::Serving`.
    pub async fn close(&mut self) {
        if self.is_closed() {
            return;
        }
        self.http1.close(&self.executor).await;
        if let Some(http2) = &mut self.http2 {
            http2.close(&self.executor).await;
        }
        self.context.lifecycle().set_phase(Phase::Closing);
        self.http1.handler.close_idle();
    }

    /// Records that a query waited `waited` in the event queue.
    pub fn on_query_dequeued(&self, waited: Duration) {
        self.context.timings().on_query_dequeued(waited);
    }

    /// Logs what clients' requests waited for, if the interval since the last report has passed.
    pub fn report_request_times_if_due(&self, now: Timestamp) {
        self.context.timings().report_if_due(now);
    }

    /// Returns whether the listening sockets have been closed, so that new connections are refused.
    #[must_use]
    pub fn is_closed(&self) -> bool {
        self.http1.accepting.is_none()
    }

    /// Returns the number of open connections, including those that are being closed.
    #[must_use]
    pub fn open_connections(&self) -> usize {
        let http2 = self.http2.as_ref();
        self.http1.handler.open_connections() + http2.map_or(0, |h| h.handler.open_connections())
    }
}

#[cfg(test)]
mod tests;
