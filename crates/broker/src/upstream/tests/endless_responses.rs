//! Servers that send more than the event loop has handled.

use super::*;
use crate::net::READ_CHUNK_BYTES;
use server_protocol::broker::MAX_FRAME_LEN;

/// Time for which the socket tasks run without the event loop, far longer than a batch window.
const BUSY_TIME: Duration = Duration::from_millis(100);

/// Starts a thread that sends `bytes` over and over until the connection is closed.
fn send_endlessly(mut server: TcpStream, bytes: Vec<u8>) {
    std::thread::spawn(move || while server.write_all(&bytes).is_ok() {});
}

/// Guards against memory that grows without a bound: while the event loop is busy, the broker took
/// in every frame that a server sent, and each became an event of ten times its size.
#[test]
fn events_of_endless_responses_are_bounded_while_the_event_loop_is_busy() {
    let mut pools = TestPools::new(limits());
    pools.send(START, attempts_of(1));
    pools.run_until_written(CONNECTION_0);
    let (server, _) = pools.listener.accept().unwrap();
    send_endlessly(server, response("x").repeat(1000));
    pools.run_tasks_for(BUSY_TIME);
    let events = pools.event_queue.drain().len();
    assert_eq!(events, 1, "expected one event for all received frames");
}

/// Guards against memory that grows with the number of bad servers: the bytes that are received on
/// all connections together must stay within the budget.
#[test]
fn received_bytes_of_all_connections_are_bounded_while_the_event_loop_is_busy() {
    let mut pools = TestPools::new(PoolLimits {
        max_receive_bytes: 2 * MAX_FRAME_LEN,
        max_parts_per_call: 1,
        ..limits()
    });
    pools.send(START, attempts_of(1).parts(4));
    assert_eq!(pools.open_connections(), 4);
    for connection in 0..4 {
        pools.run_until_written(ServerConnectionId(connection));
        let (server, _) = pools.listener.accept().unwrap();
        send_endlessly(server, response("x").repeat(1000));
    }
    pools.run_tasks_for(BUSY_TIME);
    let connections = pools.connections().connections();
    let buffered: usize = connections.map(|c| c.receive_buffer().len()).sum();
    assert!((MAX_FRAME_LEN..2 * MAX_FRAME_LEN + READ_CHUNK_BYTES).contains(&buffered));
}

/// Guards against a budget that is never given back: after a server of endless responses was
/// disconnected, other connections must receive again.
#[test]
fn responses_are_received_after_an_endless_one_has_exhausted_the_memory() {
    let mut pools = TestPools::new(PoolLimits {
        max_receive_bytes: MAX_FRAME_LEN,
        max_parts_per_call: 1,
        ..limits()
    });
    pools.send(START, attempts_of(1).parts(2));
    pools.run_until_written(CONNECTION_0);
    let (bad_server, _) = pools.listener.accept().unwrap();
    pools.run_until_written(CONNECTION_1);
    let (mut good_server, _) = pools.listener.accept().unwrap();
    send_endlessly(bad_server, response("x").repeat(1000));
    pools.run_tasks_for(BUSY_TIME);
    good_server.write_all(&response("q1.1")).unwrap();
    pools.run_tasks_for(BUSY_TIME);
    pools.handle_events(at_micros(10));
    pools.run_tasks_for(BUSY_TIME);
    pools.handle_events(at_micros(20));
    assert_eq!(
        pools.take_outcomes(at_micros(30)),
        [Outcome::Error, Outcome::Served]
    );
}
