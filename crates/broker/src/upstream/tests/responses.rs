//! Responses, valid and invalid.

use super::*;
use server_protocol::InvalidFrame;

/// Outcomes of `sent` written attempts on one connection after an event, and the number of connections left.
fn outcomes_after(event: ConnectionEvent, sent: usize) -> (Vec<Outcome>, usize) {
    let mut pools = TestPools::new(PoolLimits {
        max_parts_per_call: 4,
        ..limits()
    });
    pools.send(0, attempts_of(1).parts(sent));
    pools.write_frame(CONNECTION_0);
    pools.on_connection_event(10, CONNECTION_0, event);
    (pools.take_outcomes(20), pools.open_connections())
}

/// A response to a part that is not in flight takes the place of one that will not arrive, so that one must not be
/// waited for. It is one failure of the server, whatever else was in flight, and none of a query's own.
#[test]
fn invalid_response_fails_one_attempt_and_closes_its_connection() {
    for event in [
        response("q7.0"),
        ConnectionEvent::FrameInvalid(InvalidFrame::UnknownKind),
    ] {
        let (outcomes, open_connections) = outcomes_after(event, 3);
        assert_eq!(
            outcomes,
            [Outcome::Error, Outcome::Cancelled, Outcome::Cancelled]
        );
        assert_eq!(open_connections, 0);
    }
}

/// A duplicate response or noise after a valid response fails no attempt, but the connection is unreliable.
#[test]
fn surplus_data_after_a_valid_response_closes_the_connection_and_fails_no_attempt() {
    for surplus in [
        response("q1.0"),
        ConnectionEvent::FrameStarted,
        ConnectionEvent::FrameInvalid(InvalidFrame::UnknownKind),
    ] {
        let mut pools = TestPools::new(limits());
        pools.send(0, attempts_of(1));
        pools.receive_response(10, CONNECTION_0, "q1.0");
        pools.on_connection_event(10, CONNECTION_0, surplus);
        assert_eq!(pools.take_outcomes(20), [Outcome::Served]);
        assert_eq!(pools.open_connections(), 0);
    }
}

/// The response to a cancelled part may cross the cancellation: it violates nothing, but only once.
#[test]
fn late_response_to_a_cancelled_attempt_is_ignored_once() {
    let mut pools = TestPools::new(limits());
    pools.send(0, attempts_of(1).parts(2));
    pools.write_frame(CONNECTION_0);
    pools.cancel(10, attempt(1, 0));
    pools.receive_response(20, CONNECTION_0, "q1.0");
    assert_eq!(pools.take_outcomes(20), [Outcome::Cancelled]);
    assert_eq!(pools.open_connections(), 1);
    pools.receive_response(30, CONNECTION_0, "q1.0");
    assert_eq!(pools.take_outcomes(30), [Outcome::Error]);
    assert_eq!(pools.open_connections(), 0);
}

/// A slow server responds in order to parts that were cancelled several rounds ago: that must not end the attempts
/// that are in flight now.
#[test]
fn late_responses_to_more_parts_than_may_be_in_flight_are_ignored() {
    let mut pools = TestPools::new(single_socket());
    for query in 1..=limits().max_parts_per_connection as u64 + 2 {
        pools.send(0, attempts_of(query));
        let send_queue = pools.send_queue_of(CONNECTION_0);
        while send_queue.start_frame(0).is_some() {
            send_queue.finish_frame();
        }
        pools.cancel(10, attempt(query, 0));
    }
    pools.send(20, attempts_of(100));
    pools.take_ended_attempts(20);
    pools.receive_response(30, CONNECTION_0, "q1.0");
    pools.receive_response(30, CONNECTION_0, "q100.0");
    assert_eq!(pools.take_outcomes(30), [Outcome::Served]);
    assert_eq!(pools.open_connections(), 1);
}

/// A wrong length announces bytes that never arrive: the attempt must not wait until its deadline.
#[test]
fn frame_that_makes_no_progress_is_invalid() {
    let mut pools = TestPools::new(limits());
    pools.send(0, attempts_of(1));
    pools.write_frame(CONNECTION_0);
    pools.on_connection_event(10, CONNECTION_0, ConnectionEvent::FrameStarted);
    assert_eq!(pools.next_deadline(), Some(10 + limits().dial_timeout));
    pools.close_expired_connections(9 + limits().dial_timeout);
    assert_eq!(pools.open_connections(), 1);
    pools.close_expired_connections(10 + limits().dial_timeout);
    assert_eq!(pools.take_outcomes(SECOND / 2), [Outcome::Error]);
    assert_eq!(pools.open_connections(), 0);
}
