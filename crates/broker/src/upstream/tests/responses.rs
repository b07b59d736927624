//! Responses, valid and invalid.

use super::*;
use server_protocol::InvalidFrame;

/// A response to a part that is not in flight takes the place of one that will not arrive, so that
/// one must not be waited for. It is one failure of the server, whatever else was in flight, and
/// none of a query's own.
#[test]
fn invalid_response_fails_one_attempt_and_closes_its_connection() {
    for event in [
        response("q7.0"),
        ConnectionEvent::FrameInvalid(InvalidFrame::UnknownKind),
    ] {
        let mut pools = TestPools::new(PoolLimits {
            max_parts_per_call: 4,
            ..limits()
        });
        pools.send(START, attempts_of(1).parts(3));
        pools.write_frame(CONNECTION_0);
        pools.on_connection_event(at_micros(10), CONNECTION_0, event);
        assert_eq!(
            pools.take_outcomes(at_micros(20)),
            [Outcome::Error, Outcome::Cancelled, Outcome::Cancelled]
        );
        assert_eq!(pools.open_connections(), 0);
    }
}

/// A duplicate response or noise after a valid response fails no attempt, but the connection is
/// unreliable.
#[test]
fn surplus_data_after_a_valid_response_closes_the_connection_and_fails_no_attempt() {
    for surplus in [
        response("q1.0"),
        ConnectionEvent::FrameStarted,
        ConnectionEvent::FrameInvalid(InvalidFrame::UnknownKind),
    ] {
        let mut pools = TestPools::new(limits());
        pools.send(START, attempts_of(1));
        pools.receive_response(at_micros(10), CONNECTION_0, "q1.0");
        pools.on_connection_event(at_micros(10), CONNECTION_0, surplus);
        assert_eq!(pools.take_outcomes(at_micros(20)), [Outcome::Served]);
        assert_eq!(pools.open_connections(), 0);
    }
}

/// The response to a cancelled part may cross the cancellation: it violates nothing, but only once.
#[test]
fn late_response_to_a_cancelled_attempt_is_ignored_once() {
    let mut pools = TestPools::new(limits());
    pools.send(START, attempts_of(1).parts(2));
    pools.write_frame(CONNECTION_0);
    pools.cancel(at_micros(10), attempt(1, 0));
    pools.receive_response(at_micros(20), CONNECTION_0, "q1.0");
    assert_eq!(pools.take_outcomes(at_micros(20)), [Outcome::Cancelled]);
    assert_eq!(pools.open_connections(), 1);
    pools.receive_response(at_micros(30), CONNECTION_0, "q1.0");
    assert_eq!(pools.take_outcomes(at_micros(30)), [Outcome::Error]);
    assert_eq!(pools.open_connections(), 0);
}

/// A slow server responds in order to parts that were cancelled several rounds ago: that must not
/// end the attempts that are in flight now.
#[test]
fn late_responses_to_more_parts_than_may_be_in_flight_are_ignored() {
    let mut pools = TestPools::new(single_socket());
    for query in 1..=limits().max_parts_per_connection as u64 + 2 {
        pools.send(START, attempts_of(query));
        let send_queue = pools.send_queue_of(CONNECTION_0);
        while send_queue.start_frame(START).is_some() {
            send_queue.finish_frame();
        }
        pools.cancel(at_micros(10), attempt(query, 0));
    }
    pools.send(at_micros(20), attempts_of(100));
    pools.take_ended_attempts(at_micros(20));
    pools.receive_response(at_micros(30), CONNECTION_0, "q1.0");
    pools.receive_response(at_micros(30), CONNECTION_0, "q100.0");
    assert_eq!(pools.take_outcomes(at_micros(30)), [Outcome::Served]);
    assert_eq!(pools.open_connections(), 1);
}

/// A wrong length announces bytes that never arrive: the attempt must not wait until its deadline.
#[test]
fn frame_that_makes_no_progress_is_invalid() {
    let mut pools = TestPools::new(limits());
    pools.send(START, attempts_of(1));
    pools.write_frame(CONNECTION_0);
    pools.on_connection_event(at_micros(10), CONNECTION_0, ConnectionEvent::FrameStarted);
    assert_eq!(
        pools.next_deadline(),
        Some(at_micros(10) + limits().dial_timeout)
    );
    pools.close_expired_connections(at_micros(9) + limits().dial_timeout);
    assert_eq!(pools.open_connections(), 1);
    pools.close_expired_connections(at_micros(10) + limits().dial_timeout);
    assert_eq!(pools.take_outcomes(at(SECOND / 2)), [Outcome::Error]);
    assert_eq!(pools.open_connections(), 0);
}
