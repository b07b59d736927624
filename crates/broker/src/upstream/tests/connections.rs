//! Selection of the connection for a call, and closing of idle connections.

use super::*;

/// Calls must be spread over up to four connections to a server, but an idle connection must be
/// reused before another one is opened. A fifth connection must be opened only once each of the
/// four has its maximum of four parts in flight. In the end 20 parts are in flight, which fill five
/// connections.
#[test]
fn calls_are_spread_over_connections_and_an_idle_one_is_reused() {
    let mut pools = TestPools::new(limits());
    pools.send(START, attempts_of(1).parts(3));
    assert_eq!(pools.open_connections(), 2);
    pools.receive_response(at_micros(10), CONNECTION_1, "q1.2");
    pools.send(at_micros(20), attempts_of(2));
    assert_eq!(pools.open_connections(), 2);
    assert_eq!(pools.in_flight_on(CONNECTION_1), 1);
    for query in 3..20 {
        pools.send(at_micros(30), attempts_of(query));
    }
    let connections = pools.connections().connections();
    let in_flight: Vec<usize> = connections.map(|c| c.attempts().count()).collect();
    assert_eq!(in_flight, [4; 5]);
}

/// A server may close a connection right after its response, so an attempt on a connection that has
/// just become idle can be lost. The connection that has been idle for longest must be selected.
#[test]
fn connection_idle_for_longest_is_selected() {
    let mut pools = TestPools::new(limits());
    pools.send(START, attempts_of(1).parts(3));
    for (now, connection, wire_id) in [
        (10, CONNECTION_1, "q1.2"),
        (20, CONNECTION_0, "q1.1"),
        (30, CONNECTION_0, "q1.0"),
    ] {
        pools.receive_response(at_micros(now), connection, wire_id);
    }
    pools.send(at_micros(40), attempts_of(2));
    assert_eq!(pools.in_flight_on(CONNECTION_1), 1);
}

/// When the limit of connections is reached and no connection is idle, the attempt must end. Once a
/// connection to another server is idle, it must be closed to make room for a new one.
#[test]
fn idle_connection_is_evicted_or_attempt_ends_when_no_socket_is_left() {
    let mut pools = TestPools::new(single_connection_limits());
    pools.send(START, attempts_of(1));
    let other = NodeId("s1".into());
    pools.add_server(&other);
    pools.send(START, attempts_of(2).on_server(&other));
    assert_eq!(pools.take_outcomes(at_micros(30)), [Outcome::Unreachable]);
    pools.receive_response(at_micros(10), CONNECTION_0, "q1.0");
    pools.send(at_micros(20), attempts_of(3).on_server(&other));
    assert_eq!(pools.take_outcomes(at_micros(30)), [Outcome::Served]);
    assert_eq!(pools.open_connections(), 1);
}

/// An attempt that is sent while the server closes the idle connection would end with a connection
/// reset, so the broker must close the connection first, after 75% of the server's idle timeout of
/// 15 seconds.
#[test]
fn idle_connection_is_closed_before_the_server_closes_it() {
    let mut pools = TestPools::new(limits());
    pools.send(START, attempts_of(1));
    pools.receive_response(at_micros(100), CONNECTION_0, "q1.0");
    pools.close_expired_connections(at(11 * SECOND));
    assert_eq!(pools.open_connections(), 1);
    pools.close_expired_connections(at(12 * SECOND));
    assert_eq!(pools.open_connections(), 0);
}

/// While a server drains, no attempt may be sent to it. Attempts that were queued before the start
/// of the drain must be withdrawn.
#[test]
fn unsent_attempts_are_withdrawn_when_their_server_drains() {
    let mut pools = TestPools::new(limits());
    pools.send(START, attempts_of(1).parts(2));
    pools.set_endpoint(at_micros(10), &server(), None);
    assert_eq!(pools.take_outcomes(at_micros(30)), [Outcome::NotSent; 2]);
    pools.send(at_micros(20), attempts_of(2));
    assert_eq!(pools.take_outcomes(at_micros(30)), [Outcome::Unreachable]);
    pools.close_expired_connections(at_micros(20));
    assert_eq!(pools.open_connections(), 0);
    assert_eq!(pools.connections().known_servers(), 0);
}
