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

/// The socket accepts no byte of the only attempt on a connection until the attempt's deadline. The
/// attempt is then withdrawn, which leaves the connection idle, so that it would be selected for
/// further attempts. These could not be sent either, so the connection must be closed.
#[test]
fn connection_is_closed_if_its_socket_is_full_at_the_deadline_of_an_unsent_attempt() {
    let (broker, _server) = socket_pair();
    fill_send_buffer(&broker);
    let mut pools = TestPools::new(limits());
    pools.send(START, attempts_of(1).deadline(at(HOUR)));
    poll_write(&broker, &pools.send_queue_of(CONNECTION_0));
    assert_eq!(pools.take_outcomes(at(HOUR)), [Outcome::Unreachable]);
    assert_eq!(pools.open_connections(), 0);
}
