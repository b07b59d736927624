//! Deadlines of attempts, and times after which they must not be sent.

use super::*;

/// That no time was left shows nothing about a server whose connection is established.
#[test]
fn attempt_that_expires_before_it_is_written_ends_as_not_sent() {
    let (mut pools, listener) = pools_with(limits());
    pools.send_attempts(0, attempts(1, 1));
    run_until_written(&pools, CONNECTION_0);
    let _server = listener.accept().unwrap();
    pools.on_connection_event(10, CONNECTION_0, response("q1.0"));
    pools.take_ended_attempts(10);
    pools.send_attempts(20, attempts(2, 1));
    let send_queue = send_queue_of(&pools, CONNECTION_0);
    assert!(send_queue.start_frame(SECOND).is_none());
    assert_eq!(take_outcomes(&mut pools, SECOND), [Outcome::NotSent]);
}

/// An attempt that must not be sent any more ends at that moment; one sent before is waited for.
#[test]
fn attempt_ends_after_its_send_period_unless_it_was_sent() {
    let (mut pools, _listener) = pools_with(limits());
    let limited = |query| changed_attempts(query, |a| a.part.send_before = Some(SECOND / 2));
    pools.send_attempts(0, limited(1));
    pools.send_attempts(0, limited(2));
    let send_queue = send_queue_of(&pools, CONNECTION_1);
    send_queue.start_frame(SECOND / 2 - 1);
    assert_eq!(pools.next_deadline(), SECOND / 2);
    assert!(take_outcomes(&mut pools, SECOND / 2 - 1).is_empty());
    assert_eq!(take_outcomes(&mut pools, SECOND / 2), [Outcome::NotSent]);
    assert_eq!(pools.next_deadline(), SECOND);
    send_queue.finish_frame();
    assert_eq!(take_outcomes(&mut pools, SECOND), [Outcome::TimedOut]);
    assert_eq!(pools.in_flight.scheduled_checks(), 0);
}
