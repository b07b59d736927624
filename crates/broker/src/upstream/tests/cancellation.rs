//! Withdrawal of attempts that were not sent.

use super::*;
use std::io::Write;

/// Where the settings do not allow cancellation, unsent attempts are withdrawn all the same.
#[test]
fn unsent_attempts_are_withdrawn_when_their_query_ends() {
    let (mut pools, _listener) = pools_with(limits());
    pools.send_attempts(0, attempts(1, 2));
    pools.send_attempts(0, attempts(2, 1));
    start_frame(&pools, CONNECTION_1);
    pools.cancel_unsent(10, QueryId(2), None);
    pools.cancel_unsent(10, QueryId(1), None);
    assert_eq!(take_outcomes(&mut pools, 10), [Outcome::NotSent; 2]);
    assert!(pools.in_flight.ids().all(|id| id.query == QueryId(2)));
}

/// A connection whose socket accepts nothing looks idle once its queue is empty: it must not be used again.
#[test]
fn connection_that_accepted_nothing_of_an_attempt_is_closed_at_its_deadline() {
    let (broker, _server) = socket_pair();
    while broker.get_ref().write(&[0; 4096]).is_ok() {}
    let (mut pools, _listener) = pools_with(limits());
    pools.send_attempts(0, changed_attempts(1, |a| a.part.deadline = HOUR));
    poll_write(&broker, &send_queue_of(&pools, CONNECTION_0));
    assert_eq!(take_outcomes(&mut pools, HOUR), [Outcome::Unreachable]);
    assert_eq!(pools.open_connections(), 0);
}
