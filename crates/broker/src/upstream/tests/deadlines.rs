//! Deadlines of attempts, and the times after which attempts must no longer be sent.

use super::*;

/// The deadline of an attempt can pass while the attempt waits in the send queue of an established
/// connection. This shows nothing about the server, so the attempt must not end as timed out or
/// unreachable.
#[test]
fn attempt_that_expires_before_it_is_written_ends_as_not_sent() {
    let mut pools = TestPools::new(limits());
    pools.send(START, attempts_of(1));
    pools.run_until_written(CONNECTION_0);
    let _server = pools.listener.accept().unwrap();
    pools.receive_response(at_micros(10), CONNECTION_0, "q1.0");
    pools.take_ended_attempts(at_micros(10));
    pools.send(at_micros(20), attempts_of(2));
    let send_queue = pools.send_queue_of(CONNECTION_0);
    assert!(send_queue.start_frame(at(SECOND)).is_none());
    assert_eq!(pools.take_outcomes(at(SECOND)), [Outcome::NotSent]);
}

/// An unsent attempt must end at the time after which it must no longer be sent. An attempt that
/// was sent before must remain in flight until its deadline.
#[test]
fn unsent_attempt_ends_at_its_send_limit_and_sent_attempt_at_its_deadline() {
    let mut pools = TestPools::new(limits());
    pools.send(START, attempts_of(1).send_before(at(SECOND / 2)));
    pools.send(START, attempts_of(2).send_before(at(SECOND / 2)));
    let send_queue = pools.send_queue_of(CONNECTION_1);
    send_queue.start_frame(at(SECOND / 2 - MICROSECOND));
    assert_eq!(pools.next_deadline(), Some(at(SECOND / 2)));
    assert!(pools.take_outcomes(at(SECOND / 2 - MICROSECOND)).is_empty());
    assert_eq!(pools.take_outcomes(at(SECOND / 2)), [Outcome::NotSent]);
    assert_eq!(pools.next_deadline(), Some(at(SECOND)));
    send_queue.finish_frame();
    assert_eq!(pools.take_outcomes(at(SECOND)), [Outcome::TimedOut]);
    assert_eq!(pools.attempts().scheduled_checks(), 0);
}

/// Time limits with the maximum value must never be reached, and no sum of times may overflow.
#[test]
fn maximum_time_limits_never_expire() {
    let mut pools = TestPools::new(PoolLimits {
        dial_timeout: Duration::MAX,
        idle_timeout: Duration::MAX,
        ..limits()
    });
    pools.send(at(HOUR), attempts_of(1).parts(2).deadline(Timestamp::MAX));
    pools.write_frame(CONNECTION_0);
    let response = response("q1.1");
    let (start, rest) = response.split_at(response.len() / 2);
    pools.receive(at(HOUR), CONNECTION_0, start);
    assert_eq!(pools.next_deadline(), Some(Timestamp::MAX));
    pools.cancel(at(2 * HOUR), attempt(1, 0));
    pools.receive(at(2 * HOUR), CONNECTION_0, rest);
    pools.close_expired_connections(at(1000 * HOUR));
    assert_eq!(pools.open_connections(), 1);
    assert_eq!(
        pools.take_outcomes(at(1000 * HOUR)),
        [Outcome::Cancelled, Outcome::Served]
    );
}
