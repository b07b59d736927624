//! Withdrawal of attempts that were not sent.

use super::*;

/// Where the settings do not allow cancellation, unsent attempts are withdrawn all the same.
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

/// A connection whose socket accepts nothing looks idle once its queue is empty: it must not be
/// used again.
#[test]
fn connection_that_accepted_nothing_of_an_attempt_is_closed_at_its_deadline() {
    let (broker, _server) = socket_pair();
    fill(&broker);
    let mut pools = TestPools::new(limits());
    pools.send(START, attempts_of(1).deadline(at(HOUR)));
    poll_write(&broker, &pools.send_queue_of(CONNECTION_0));
    assert_eq!(pools.take_outcomes(at(HOUR)), [Outcome::Unreachable]);
    assert_eq!(pools.open_connections(), 0);
}
