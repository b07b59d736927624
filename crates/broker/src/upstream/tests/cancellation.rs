//! Cancellation of attempts that were not sent, and of attempts on a blocked socket.

use super::*;

/// The settings may forbid cancelling sent attempts. Unsent attempts must be withdrawn nevertheless
/// when their query ends. The attempt whose frame has been started must not be withdrawn.
#[test]
fn unsent_attempts_are_withdrawn_when_their_query_ends() {
    let mut pools = TestPools::new(limits());
    pools.send(START, attempts_of(1).parts(2));
    pools.send(START, attempts_of(2));
    pools.start_frame(CONNECTION_1);
    pools.cancel_unsent(at_micros(10), QueryId(2), None);
    pools.cancel_unsent(at_micros(10), QueryId(1), None);
    assert_eq!(pools.take_outcomes(at_micros(10)), [Outcome::NotSent; 2]);
    assert!(pools.attempts().ids().all(|id| id.query == QueryId(2)));
}

/// When the only attempt on a connection has been withdrawn, the connection counts as idle. If its
/// socket accepts no data, it must be closed, because a further attempt on it could not be sent.
#[test]
fn connection_that_accepted_nothing_of_an_attempt_is_closed_at_its_deadline() {
    let (broker, _server) = socket_pair();
    fill_send_buffer(&broker);
    let mut pools = TestPools::new(limits());
    pools.send(START, attempts_of(1).deadline(at(HOUR)));
    poll_write(&broker, &pools.send_queue_of(CONNECTION_0));
    assert_eq!(pools.take_outcomes(at(HOUR)), [Outcome::Unreachable]);
    assert_eq!(pools.open_connections(), 0);
}
