//! Tests of the pools. The tests create the events of connections themselves, except where a test
//! needs real sockets.

mod cancellation;
mod connections;
mod deadlines;
mod endless_responses;
mod failures;
mod part_ids;
mod responses;
mod send_queue;

use super::send_queue::SendQueue;
use super::{EndedAttempt, OutgoingAttempt, OutgoingPart, ServerPools, socket};
use crate::clock::Clock;
use crate::event_queue::{ConnectionEvent, Event, EventQueue, ServerConnectionId};
use crate::request_ids::{RequestIdLease, RequestIds};
use async_executor::LocalExecutor;
use async_io::Async;
use broker_types::limits::PoolLimits;
use broker_types::query::{AttemptId, PartIndex, QueryId};
use broker_types::server::{NodeId, Outcome};
use broker_types::time::Timestamp;
use futures_lite::future::yield_now;
use server_protocol::PartStatus;
use server_protocol::server::encode_part_response;
use std::io::{ErrorKind, Write};
use std::net::{TcpListener, TcpStream};
use std::ops::{Deref, DerefMut};
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Waker};
use std::time::{Duration, Instant};

const MICROSECOND: Duration = Duration::from_micros(1);
const SECOND: Duration = Duration::from_secs(1);
const HOUR: Duration = Duration::from_secs(3600);

/// Time at which the pools are created.
const START: Timestamp = Timestamp::ORIGIN;

/// Ids of the first two connections that the pools open.
const CONNECTION_0: ServerConnectionId = ServerConnectionId(0);
const CONNECTION_1: ServerConnectionId = ServerConnectionId(1);

/// Returns the time that is `elapsed` after [`START`].
fn at(elapsed: Duration) -> Timestamp {
    START + elapsed
}

/// Returns the time that is `micros` microseconds after [`START`].
fn at_micros(micros: u64) -> Timestamp {
    at(Duration::from_micros(micros))
}

/// Pools with one server, and the listener at the server's address. A connection is accepted only
/// where a test does so explicitly.
struct TestPools {
    pools: ServerPools,
    listener: TcpListener,
    executor: Rc<LocalExecutor<'static>>,
    event_queue: Rc<EventQueue>,
}

impl Deref for TestPools {
    type Target = ServerPools;

    fn deref(&self) -> &ServerPools {
        &self.pools
    }
}

impl DerefMut for TestPools {
    fn deref_mut(&mut self) -> &mut ServerPools {
        &mut self.pools
    }
}

impl TestPools {
    fn new(limits: PoolLimits) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let executor = Rc::new(LocalExecutor::new());
        let event_queue = Rc::new(EventQueue::default());
        let (tasks, events) = (executor.clone(), event_queue.clone());
        let mut pools = TestPools {
            pools: ServerPools::new(tasks, events, Clock::start(), limits),
            listener,
            executor,
            event_queue,
        };
        pools.add_server(&server());
        pools
    }

    /// Sets the address of a server to that of the listener. Adds the server if it is new.
    fn add_server(&mut self, name: &NodeId) {
        let address = self.listener.local_addr().unwrap();
        self.pools.set_endpoint(START, name, Some(address));
    }

    /// Sends the attempts of a query.
    fn send(&mut self, now: Timestamp, attempts: Attempts) {
        self.pools.send_attempts(now, attempts.build());
    }

    /// Passes the pools a response to a part, as received on a connection.
    fn receive_response(&mut self, now: Timestamp, connection: ServerConnectionId, wire_id: &str) {
        self.receive(now, connection, &response(wire_id));
    }

    /// Passes the pools bytes, as received on a connection. Does nothing if the connection is
    /// closed.
    fn receive(&mut self, now: Timestamp, connection: ServerConnectionId, bytes: &[u8]) {
        if let Some(open) = self.pools.connections().get(connection) {
            open.receive_buffer().append(bytes);
        }
        let event = ConnectionEvent::DataReceived;
        self.pools.on_connection_event(now, connection, event);
    }

    /// Passes the pools the event that a connection was reset.
    fn reset_connection(&mut self, now: Timestamp, connection: ServerConnectionId) {
        let event = ConnectionEvent::Closed(ErrorKind::ConnectionReset.into());
        self.pools.on_connection_event(now, connection, event);
    }

    /// Takes the attempts that have ended by `now` and returns their outcomes.
    fn take_outcomes(&mut self, now: Timestamp) -> Vec<Outcome> {
        let ended: Vec<EndedAttempt> = self.pools.take_ended_attempts(now);
        ended.iter().map(|attempt| attempt.outcome).collect()
    }

    fn send_queue_of(&self, connection: ServerConnectionId) -> Rc<SendQueue> {
        let connection = self.pools.connections().get(connection);
        connection
            .expect("the connection is open")
            .send_queue()
            .clone()
    }

    fn in_flight_on(&self, connection: ServerConnectionId) -> usize {
        let connection = self.pools.connections().get(connection);
        connection
            .expect("the connection is open")
            .attempts()
            .count()
    }

    /// Starts the next frame of a connection, as if its socket accepted only the first bytes.
    fn start_frame(&self, connection: ServerConnectionId) {
        self.send_queue_of(connection).start_frame(START);
    }

    /// Starts and finishes the next frame of a connection, as if its socket accepted all bytes.
    fn write_frame(&self, connection: ServerConnectionId) {
        self.start_frame(connection);
        self.send_queue_of(connection).finish_frame();
    }

    /// Runs the socket tasks until all calls of a connection are written.
    fn run_until_written(&self, connection: ServerConnectionId) {
        let send_queue = self.send_queue_of(connection);
        let written = async {
            while !send_queue.unwritten_parts().is_empty() {
                yield_now().await;
            }
        };
        async_io::block_on(self.executor.run(written));
    }

    /// Runs the socket tasks for some time, during which the event loop handles no event.
    fn run_tasks_for(&self, time: Duration) {
        let until = Instant::now() + time;
        let run = async {
            while Instant::now() < until {
                yield_now().await;
            }
        };
        async_io::block_on(self.executor.run(run));
    }

    /// Passes the queued events of connections to the pools.
    fn handle_events(&mut self, now: Timestamp) {
        for event in self.event_queue.drain() {
            if let Event::ServerConnection { connection, event } = event {
                self.pools.on_connection_event(now, connection, event);
            }
        }
    }

    /// Runs the socket tasks until any of them has reported events, and returns the events.
    fn run_until_events(&self) -> Vec<Event> {
        async_io::block_on(self.executor.run(async {
            loop {
                let events = self.event_queue.drain();
                if !events.is_empty() {
                    break events;
                }
                yield_now().await;
            }
        }))
    }
}

/// Returns small limits: two parts in a call and four parts in flight on a connection.
fn limits() -> PoolLimits {
    PoolLimits {
        max_connections: 10,
        max_parts_per_call: 2,
        max_parts_per_connection: 4,
        max_receive_bytes: 1 << 20,
        dial_timeout: SECOND / 4,
        idle_timeout: 15 * SECOND,
    }
}

/// Returns [`limits`] with a limit of one connection.
fn single_connection_limits() -> PoolLimits {
    PoolLimits {
        max_connections: 1,
        ..limits()
    }
}

fn server() -> NodeId {
    NodeId("s0".into())
}

/// Returns the id of the first attempt at a part.
fn attempt(query: u64, part: usize) -> AttemptId {
    AttemptId {
        query: QueryId(query),
        part: PartIndex(part),
        attempt: 0,
    }
}

/// Builder of attempts at the parts of a query, by default the first ones.
struct Attempts {
    query: u64,
    attempt: u32,
    parts: usize,
    server: NodeId,
    deadline: Timestamp,
    send_before: Option<Timestamp>,
}

/// Creates the builder of one attempt, at the first part of a query, with a deadline one second
/// after [`START`].
fn attempts_of(query: u64) -> Attempts {
    Attempts {
        query,
        attempt: 0,
        parts: 1,
        server: server(),
        deadline: at(SECOND),
        send_before: None,
    }
}

impl Attempts {
    /// Builds one attempt at each of the first `parts` parts.
    fn parts(self, parts: usize) -> Self {
        Attempts { parts, ..self }
    }

    /// Builds attempts with this number, which are retries or hedged requests if it is not 0.
    fn number(self, attempt: u32) -> Self {
        Attempts { attempt, ..self }
    }

    fn on_server(self, name: &NodeId) -> Self {
        let server = name.clone();
        Attempts { server, ..self }
    }

    fn deadline(self, deadline: Timestamp) -> Self {
        Attempts { deadline, ..self }
    }

    fn send_before(self, limit: Timestamp) -> Self {
        let send_before = Some(limit);
        Attempts {
            send_before,
            ..self
        }
    }

    fn build(self) -> Vec<OutgoingAttempt> {
        let query = self.query;
        let request_id = lease(&RequestIds::default(), query);
        let outgoing = |part| OutgoingAttempt {
            attempt: AttemptId {
                attempt: self.attempt,
                ..attempt(query, part)
            },
            server: self.server.clone(),
            part: OutgoingPart {
                shard: part,
                send_before: self.send_before,
                ..outgoing_part(&format!("q{query}.{part}"), self.deadline)
            },
            request_id: request_id.clone(),
        };
        (0..self.parts).map(outgoing).collect()
    }
}

/// Puts the request id of a query in use.
fn lease(request_ids: &RequestIds, query: u64) -> RequestIdLease {
    let lease = request_ids.try_acquire(&format!("q{query}").into());
    lease.expect("the id is not in use")
}

fn outgoing_part(wire_id: &str, deadline: Timestamp) -> OutgoingPart {
    OutgoingPart {
        wire_id: wire_id.into(),
        shard: 0,
        deadline,
        send_before: None,
        idempotency_key: None,
        text: "c41e77d0".into(),
    }
}

/// Encodes the response to a served part.
fn response(wire_id: &str) -> Vec<u8> {
    encode_part_response(wire_id, PartStatus::Succeeded, 1, "v")
}

/// Returns whether an event reports the end of the connection `id`.
fn is_closed_event(event: &Event, id: ServerConnectionId) -> bool {
    let Event::ServerConnection { connection, event } = event else {
        return false;
    };
    *connection == id && matches!(event, ConnectionEvent::Closed(_))
}

/// Creates a connected pair of sockets: the broker's and the server's.
fn socket_pair() -> (Async<TcpStream>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let broker = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (Async::new(broker).unwrap(), listener.accept().unwrap().0)
}

/// Writes to a socket until it accepts no more data. Returns the number of bytes written.
fn fill_send_buffer(stream: &Async<TcpStream>) -> usize {
    let mut filled = 0;
    while let Ok(written) = stream.get_ref().write(&[0; 4096]) {
        filled += written;
    }
    filled
}

/// Creates the future that writes the frames of a queue to a socket, and polls it once. Panics
/// unless it is pending.
fn poll_write(stream: &Async<TcpStream>, send_queue: &SendQueue) {
    let write = pin!(socket::write_frames(stream, send_queue, Clock::start()));
    let poll = write.poll(&mut Context::from_waker(Waker::noop()));
    assert!(poll.is_pending());
}
