//! Which connection an attempt is sent on, and when idle connections are closed.

use super::*;

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

/// A server may close a connection right after its response: the one idle for longest is the
/// safest.
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

/// Every attempt ends, also one for which no socket is left.
#[test]
fn idle_connection_is_evicted_or_attempt_ends_when_no_socket_is_left() {
    let mut pools = TestPools::new(single_socket());
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

/// An attempt that crosses the server's closing of an idle connection would end as a reset.
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

/// During the grace period of a drain nothing may be sent, not even what was queued when it began.
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
