//! Parts with the same id: retries, hedged requests, and queries with a request id that was used
//! before.

use super::*;

/// Returns the id of the retry or hedged request at the first part of query 1.
fn second_attempt() -> AttemptId {
    AttemptId {
        attempt: 1,
        ..attempt(1, 0)
    }
}

/// Takes the attempts that have ended by `now`, with their outcomes.
fn take_ended(pools: &mut TestPools, now: Timestamp) -> Vec<(AttemptId, Outcome)> {
    let ended = pools.take_ended_attempts(now);
    let outcomes = ended.iter().map(|ended| (ended.attempt, ended.outcome));
    outcomes.collect()
}

/// Guards against the response to a cancelled attempt that ends a retry of the same part: it was
/// sent on the same connection, where both responses have the same id.
#[test]
fn late_response_does_not_end_a_retry_of_the_same_part() {
    let mut pools = TestPools::new(limits());
    pools.send(START, attempts_of(1));
    pools.write_frame(CONNECTION_0);
    pools.cancel(at_micros(10), attempt(1, 0));
    pools.send(at_micros(10), attempts_of(1).number(1));
    pools.write_frame(CONNECTION_1);
    let rejected = encode_part_response("q1.0", PartStatus::Rejected, 1, "");
    pools.receive(at_micros(20), CONNECTION_0, &rejected);
    let ended = take_ended(&mut pools, at_micros(20));
    assert_eq!(ended, [(attempt(1, 0), Outcome::Cancelled)]);
    pools.receive_response(at_micros(30), CONNECTION_1, "q1.0");
    let ended = take_ended(&mut pools, at_micros(30));
    assert_eq!(ended, [(second_attempt(), Outcome::Served)]);
    assert_eq!(pools.open_connections(), 2);
}

/// Guards against a hedged request that replaces the attempt in flight on the same connection: the
/// response to one of them then ended the other, and the second response closed the connection.
/// Without another connection the hedged request must not be sent, whatever its call contains.
#[test]
fn hedged_request_is_not_sent_on_the_connection_of_the_attempt_in_flight() {
    let mut pools = TestPools::new(single_connection_limits());
    pools.send(START, attempts_of(1));
    pools.write_frame(CONNECTION_0);
    let mut attempts = attempts_of(1).number(1).build();
    attempts.extend(attempts_of(2).build());
    pools.send_attempts(at_micros(10), attempts);
    let ended = take_ended(&mut pools, at_micros(10));
    assert_eq!(ended, [(second_attempt(), Outcome::Unreachable)]);
    pools.write_frame(CONNECTION_0);
    pools.receive_response(at_micros(20), CONNECTION_0, "q1.0");
    pools.receive_response(at_micros(20), CONNECTION_0, "q2.0");
    let ended = take_ended(&mut pools, at_micros(20));
    let served = [attempt(1, 0), attempt(2, 0)].map(|attempt| (attempt, Outcome::Served));
    assert_eq!(ended, served);
    assert_eq!(pools.open_connections(), 1);
}

/// Guards against an attempt that may have run and ends as not sent, because the withdrawal of an
/// unsent attempt at the same part on the same connection was taken for its own.
#[test]
fn withdrawal_of_a_hedged_request_does_not_end_the_sent_attempt() {
    let mut pools = TestPools::new(single_connection_limits());
    pools.send(START, attempts_of(1));
    pools.write_frame(CONNECTION_0);
    pools.send(at_micros(10), attempts_of(1).number(1));
    pools.cancel_unsent(at_micros(20), QueryId(1), None);
    let ended = take_ended(&mut pools, at_micros(20));
    assert_eq!(ended, [(second_attempt(), Outcome::Unreachable)]);
    assert_eq!(pools.in_flight_on(CONNECTION_0), 1);
}

/// Two attempts at the same part that are sent in one iteration need two connections.
#[test]
fn attempts_at_the_same_part_are_sent_in_separate_calls() {
    let mut pools = TestPools::new(limits());
    let mut attempts = attempts_of(1).build();
    attempts.extend(attempts_of(1).number(1).build());
    pools.send_attempts(START, attempts);
    assert_eq!(pools.in_flight_on(CONNECTION_0), 1);
    assert_eq!(pools.in_flight_on(CONNECTION_1), 1);
}

/// Guards against a forgotten id: the responses to all cancelled parts may still arrive, so a
/// connection with too many of them must accept no further part, and must not forget any.
#[test]
fn connection_drains_once_too_many_cancelled_parts_have_no_response() {
    const MAX_CANCELLED_PARTS: u64 = 256;
    let mut pools = TestPools::new(limits());
    for query in 1..=MAX_CANCELLED_PARTS {
        pools.send(START, attempts_of(query));
        pools.write_frame(CONNECTION_0);
        pools.cancel(at_micros(10), attempt(query, 0));
        pools.write_frame(CONNECTION_0);
    }
    pools.take_ended_attempts(at_micros(10));
    pools.send(at_micros(20), attempts_of(1000));
    assert_eq!(pools.in_flight_on(CONNECTION_0), 0);
    assert_eq!(pools.in_flight_on(CONNECTION_1), 1);
    pools.receive_response(at_micros(30), CONNECTION_0, "q1.0");
    assert_eq!(pools.open_connections(), 2);
    pools.close_expired_connections(at_micros(40));
    assert_eq!(pools.open_connections(), 1);
}

/// Guards against a query that gets the values of an earlier one with the same request id: the id
/// must stay in use while a response to a part with it may arrive.
#[test]
fn request_id_is_in_use_until_the_late_response_or_the_end_of_the_connection() {
    let with_response = |pools: &mut TestPools| {
        pools.receive_response(at_micros(30), CONNECTION_0, "q1.0");
    };
    let with_reset = |pools: &mut TestPools| pools.reset_connection(at_micros(30), CONNECTION_0);
    for end in [with_response as fn(&mut TestPools), with_reset] {
        let request_ids = RequestIds::default();
        let mut pools = TestPools::new(limits());
        let mut attempts = attempts_of(1).build();
        attempts[0].request_id = lease(&request_ids, 1);
        pools.send_attempts(START, attempts);
        pools.write_frame(CONNECTION_0);
        pools.cancel(at_micros(10), attempt(1, 0));
        pools.take_ended_attempts(at_micros(10));
        assert!(request_ids.try_acquire(&"q1".into()).is_none());
        end(&mut pools);
        assert!(request_ids.try_acquire(&"q1".into()).is_some());
    }
}

/// A part of which nothing was sent must not keep the request id in use.
#[test]
fn request_id_is_free_once_the_unsent_parts_are_withdrawn() {
    let request_ids = RequestIds::default();
    let mut pools = TestPools::new(limits());
    let mut attempts = attempts_of(1).build();
    attempts[0].request_id = lease(&request_ids, 1);
    pools.send_attempts(START, attempts);
    pools.cancel(at_micros(10), attempt(1, 0));
    assert!(request_ids.try_acquire(&"q1".into()).is_some());
}
