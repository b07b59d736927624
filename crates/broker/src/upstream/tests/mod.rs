//! Tests of the pools. The tests create the events of connections themselves, except where a test
//! needs real sockets.

mod attempts;
mod cancellation;
mod connections;
mod deadlines;
mod endless_responses;
mod failures;
mod part_ids;
mod responses;
mod send_queue;
mod test_pools;

use self::attempts::{attempt, attempts_of, lease, outgoing_part};
use self::test_pools::TestPools;
use super::send_queue::SendQueue;
use super::{EndedAttempt, OutgoingAttempt, OutgoingPart, ServerPools, socket};
use crate::clock::Clock;
use crate::event_queue::{ConnectionEvent, Event, EventQueue, ServerConnectionId};
use crate::executor::Executor;
use crate::request_ids::{RequestIdLease, RequestIds};
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
