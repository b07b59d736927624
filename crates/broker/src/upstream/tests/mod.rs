//! Tests of the pools. Events of connections are made by hand except where a test needs real sockets.

mod cancellation;
mod connections;
mod deadlines;
mod failures;
mod responses;
mod send_queue;

use super::send_queue::SendQueue;
use super::{EndedAttempt, OutgoingAttempt, OutgoingPart, ServerConnectionId, ServerPools, socket};
use crate::clock::Clock;
use crate::event_queue::ConnectionEvent;
use async_io::Async;
use broker_types::limits::PoolLimits;
use broker_types::query::{AttemptId, PartIndex, QueryId};
use broker_types::server::{NodeId, Outcome};
use broker_types::time::Micros;
use futures_lite::future::yield_now;
use server_protocol::broker::{PartResponse, ServerMessage};
use std::net::{TcpListener, TcpStream};
use std::pin::pin;
use std::rc::Rc;
use std::task::{Context, Waker};

const SECOND: Micros = 1_000_000;
const HOUR: Micros = 3600 * SECOND;

/// The first two connections that the pools open.
const CONNECTION_0: ServerConnectionId = ServerConnectionId(0);
const CONNECTION_1: ServerConnectionId = ServerConnectionId(1);

/// Pools with one server, which has this listener and does not accept.
fn pools_with(limits: PoolLimits) -> (ServerPools, TcpListener) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let mut pools = ServerPools::new(Rc::default(), Rc::default(), Clock::start(), limits);
    pools.set_endpoint(0, server(), Some(listener.local_addr().unwrap()));
    (pools, listener)
}

/// Limits of small numbers: two parts in a call, four on a connection.
fn limits() -> PoolLimits {
    PoolLimits {
        max_connections: 10,
        max_parts_per_call: 2,
        max_parts_per_connection: 4,
        dial_timeout: SECOND / 4,
        idle_timeout: 15 * SECOND,
    }
}

/// The same limits, but for a single socket.
fn single_socket() -> PoolLimits {
    PoolLimits {
        max_connections: 1,
        ..limits()
    }
}

fn server() -> NodeId {
    NodeId("s0".into())
}

/// The first attempt at a part.
fn attempt(query: u64, part: usize) -> AttemptId {
    AttemptId {
        query: QueryId(query),
        part: PartIndex(part),
        attempt: 0,
    }
}

/// One attempt at each of the first `parts` parts of a query, with a deadline after one second.
fn attempts(query: u64, parts: usize) -> Vec<OutgoingAttempt> {
    let outgoing = |part| OutgoingAttempt {
        attempt: attempt(query, part),
        server: server(),
        part: OutgoingPart {
            shard: part,
            ..outgoing_part(&format!("q{query}.{part}"), SECOND)
        },
    };
    (0..parts).map(outgoing).collect()
}

/// The attempts of a query at one part, changed by `change`.
fn changed_attempts(query: u64, change: impl Fn(&mut OutgoingAttempt)) -> Vec<OutgoingAttempt> {
    let mut attempts = attempts(query, 1);
    attempts.iter_mut().for_each(change);
    attempts
}

fn outgoing_part(wire_id: &str, deadline: Micros) -> OutgoingPart {
    OutgoingPart {
        wire_id: wire_id.to_owned(),
        shard: 0,
        deadline,
        send_before: None,
        idempotency_key: None,
        text: "c41e77d0".into(),
    }
}

/// Takes the ended attempts and returns their outcomes.
fn take_outcomes(pools: &mut ServerPools, now: Micros) -> Vec<Outcome> {
    let ended: Vec<EndedAttempt> = pools.take_ended_attempts(now);
    ended.iter().map(|attempt| attempt.outcome).collect()
}

/// The event that a connection was reset.
fn connection_reset() -> ConnectionEvent {
    ConnectionEvent::Closed(std::io::ErrorKind::ConnectionReset.into())
}

/// The event that a part was served.
fn response(wire_id: &str) -> ConnectionEvent {
    ConnectionEvent::FrameReceived(ServerMessage::PartResponse(PartResponse {
        id: wire_id.to_owned(),
        outcome: Outcome::Served,
        requests_in_flight: Some(1.0),
        value: "v".to_owned(),
    }))
}

fn send_queue_of(pools: &ServerPools, connection: ServerConnectionId) -> Rc<SendQueue> {
    pools.connections[&connection].send_queue.clone()
}

fn in_flight_on(pools: &ServerPools, connection: ServerConnectionId) -> usize {
    pools.connections[&connection].in_flight.len()
}

/// Starts a frame of a connection as if its socket accepted the first bytes.
fn start_frame(pools: &ServerPools, connection: ServerConnectionId) {
    send_queue_of(pools, connection).start_frame(0);
}

/// Starts and finishes a frame of a connection as if its socket accepted all of it.
fn write_frame(pools: &ServerPools, connection: ServerConnectionId) {
    start_frame(pools, connection);
    send_queue_of(pools, connection).finish_frame();
}

/// Runs the socket tasks until all frames of a connection are written.
fn run_until_written(pools: &ServerPools, connection: ServerConnectionId) {
    let send_queue = send_queue_of(pools, connection);
    let written = async {
        while !send_queue.unwritten_parts().is_empty() {
            yield_now().await;
        }
    };
    async_io::block_on(pools.executor.run(written));
}

/// A connected pair of sockets: the broker's and the server's.
fn socket_pair() -> (Async<TcpStream>, TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let broker = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    (Async::new(broker).unwrap(), listener.accept().unwrap().0)
}

/// Polls once the future that writes the frames of a queue to a socket.
fn poll_write(stream: &Async<TcpStream>, send_queue: &SendQueue) {
    let write = pin!(socket::write_frames(stream, send_queue, Clock::start()));
    let poll = write.poll(&mut Context::from_waker(Waker::noop()));
    assert!(poll.is_pending());
}
