//! Deadlines of attempts, and times after which they must not be sent.

use super::*;

/// That no time was left shows nothing about a server whose connection is established.
#[test]
fn attempt_that_expires_before_it_is_written_ends_as_not_sent() {
    let mut pools = TestPools::new(limits());
    pools.send(0, attempts_of(1));
    pools.run_until_written(CONNECTION_0);
    let _server = pools.listener.accept().unwrap();
    pools.receive_response(10, CONNECTION_0, "q1.0");
    pools.take_ended_attempts(10);
    pools.send(20, attempts_of(2));
    let send_queue = pools.send_queue_of(CONNECTION_0);
    assert!(send_queue.start_frame(SECOND).is_none());
    assert_eq!(pools.take_outcomes(SECOND), [Outcome::NotSent]);
}

/// An attempt that must not be sent any more ends at that moment; one sent before is waited for.
#[test]
fn attempt_ends_after_its_send_period_unless_it_was_sent() {
    let mut pools = TestPools::new(limits());
    pools.send(0, attempts_of(1).send_before(SECOND / 2));
    pools.send(0, attempts_of(2).send_before(SECOND / 2));
    let send_queue = pools.send_queue_of(CONNECTION_1);
    send_queue.start_frame(SECOND / 2 - 1);
    assert_eq!(pools.next_deadline(), Some(SECOND / 2));
    assert!(pools.take_outcomes(SECOND / 2 - 1).is_empty());
    assert_eq!(pools.take_outcomes(SECOND / 2), [Outcome::NotSent]);
    assert_eq!(pools.next_deadline(), Some(SECOND));
    send_queue.finish_frame();
    assert_eq!(pools.take_outcomes(SECOND), [Outcome::TimedOut]);
    assert_eq!(pools.attempts().scheduled_checks(), 0);
}
