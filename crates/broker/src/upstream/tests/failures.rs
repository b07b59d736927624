//! Outcomes of attempts whose connections fail.

use super::*;
use std::io::Read;

/// The loss of an established connection does not show whether its server is reachable, so an
/// attempt that was queued on it must not end as unreachable.
#[test]
fn attempt_queued_on_an_established_connection_ends_as_not_sent_when_it_fails() {
    let mut pools = TestPools::new(single_connection_limits());
    pools.send(START, attempts_of(1));
    pools.run_until_written(CONNECTION_0);
    pools.send(at_micros(10), attempts_of(2));
    pools.reset_connection(at_micros(20), CONNECTION_0);
    assert_eq!(
        pools.take_outcomes(at_micros(30)),
        [Outcome::ConnectionLost, Outcome::NotSent]
    );
}

/// A part whose frame was not written completely never ran. Its attempt must end with an outcome
/// that says so: as unreachable or, if the connection was ever established, as not sent. A part
/// that was written completely may have run or may still run, so its attempt must end as one whose
/// connection was lost.
#[test]
fn outcome_shows_whether_the_attempt_may_have_run() {
    let mut pools = TestPools::new(limits());
    // No byte of the frame is written until the deadline.
    pools.send(START, attempts_of(1));
    assert_eq!(pools.take_outcomes(at(SECOND)), [Outcome::Unreachable]);

    // The connection is lost while the frame is being written.
    pools.send(START, attempts_of(2).parts(2));
    pools.start_frame(CONNECTION_0);
    pools.reset_connection(at_micros(20), CONNECTION_0);
    assert_eq!(
        pools.take_outcomes(at_micros(30)),
        [Outcome::Unreachable; 2]
    );

    // The connection is lost after the frame was written.
    pools.send(at_micros(30), attempts_of(3));
    pools.run_until_written(CONNECTION_1);
    let events = pools.event_queue.drain();
    assert!(!events.iter().any(|e| is_closed_event(e, CONNECTION_1)));
    pools.reset_connection(at_micros(40), CONNECTION_1);
    assert_eq!(
        pools.take_outcomes(at_micros(30)),
        [Outcome::ConnectionLost]
    );
}

/// A severed link leaves connections open and silent. When an attempt times out, its connection
/// must be closed if it has received nothing since the attempt was sent, and kept otherwise.
#[test]
fn silent_connection_is_closed_when_its_attempt_times_out() {
    for has_responded in [false, true] {
        let mut pools = TestPools::new(limits());
        pools.send(START, attempts_of(1).parts(2));
        pools.write_frame(CONNECTION_0);
        if has_responded {
            pools.receive_response(at_micros(100), CONNECTION_0, "q1.1");
        }
        let outcomes = pools.take_outcomes(at(SECOND));
        pools.close_expired_connections(at(SECOND));
        assert_eq!(outcomes.last(), Some(&Outcome::TimedOut));
        assert_eq!(pools.open_connections(), usize::from(has_responded));
    }
}

/// A blocked socket holds back the cancellation of an attempt. A further attempt at the same part
/// could then run at the same time on the server, so the connection must be closed.
#[test]
fn connection_blocked_within_a_frame_is_closed_when_an_attempt_is_cancelled() {
    let mut pools = TestPools::new(limits());
    pools.send(START, attempts_of(1).parts(2));
    pools.start_frame(CONNECTION_0);
    pools.cancel(at(SECOND / 2), attempt(1, 0));
    assert_eq!(
        pools.take_outcomes(at(SECOND / 2)),
        [Outcome::Cancelled, Outcome::Unreachable]
    );
    assert_eq!(pools.open_connections(), 0);
}

/// The server closes an idle connection, and an attempt is queued on it before the pools have
/// handled the closing. The attempt must not end as one that may have run, because queries of some
/// classes must not repeat such attempts.
#[test]
fn attempt_sent_on_a_connection_that_the_server_has_closed_ends_as_not_sent() {
    let mut pools = TestPools::new(limits());
    pools.send(START, attempts_of(1));
    pools.run_until_written(CONNECTION_0);
    let (mut server, _) = pools.listener.accept().unwrap();
    assert!(server.read(&mut [0; 1024]).unwrap() > 0);
    pools.receive_response(at_micros(10), CONNECTION_0, "q1.0");
    assert_eq!(pools.take_outcomes(at_micros(10)), [Outcome::Served]);
    pools.send(at_micros(20), attempts_of(2));
    drop(server);
    let events = pools.run_until_events();
    assert!(matches!(&events[..], [event] if is_closed_event(event, CONNECTION_0)));
    pools.reset_connection(at_micros(30), CONNECTION_0);
    assert_eq!(pools.take_outcomes(at_micros(30)), [Outcome::NotSent]);
}
