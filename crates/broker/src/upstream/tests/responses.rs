//! Invalid, surplus, late and incomplete responses.

use super::super::receive_buffer::{ReceiveBudget, ReceiveBuffer};
use super::*;
use crate::net::READ_CHUNK_BYTES;

/// Bytes of a frame whose kind is unknown.
const UNKNOWN_KIND: &[u8] = b"\0\0\0\x02xx";
/// The first bytes of a frame, which are valid.
const PARTIAL_FRAME: &[u8] = b"\0\0\0\x14q";

/// If a server responds to a part that is not in flight, the response to one of the parts in flight
/// may never arrive, and the attempt at that part must not wait until its deadline. However many
/// attempts are in flight, this must count as one failure of the server and not as a failure of
/// their queries.
#[test]
fn invalid_response_fails_one_attempt_and_closes_its_connection() {
    for bytes in [response("q7.0"), UNKNOWN_KIND.to_vec()] {
        let mut pools = TestPools::new(PoolLimits {
            max_parts_per_call: 4,
            ..limits()
        });
        pools.send(START, attempts_of(1).parts(3));
        pools.write_frame(CONNECTION_0);
        pools.receive(at_micros(10), CONNECTION_0, &bytes);
        assert_eq!(
            pools.take_outcomes(at_micros(20)),
            [Outcome::Error, Outcome::Cancelled, Outcome::Cancelled]
        );
        assert_eq!(pools.open_connections(), 0);
    }
}

/// Surplus data after a valid response, such as a duplicate response or an invalid frame, must not
/// fail any attempt. The connection must be closed, because its data can no longer be relied on.
#[test]
fn surplus_data_after_a_valid_response_closes_the_connection_and_fails_no_attempt() {
    for surplus in [
        response("q1.0"),
        PARTIAL_FRAME.to_vec(),
        UNKNOWN_KIND.to_vec(),
    ] {
        let mut pools = TestPools::new(limits());
        pools.send(START, attempts_of(1));
        pools.receive_response(at_micros(10), CONNECTION_0, "q1.0");
        pools.receive(at_micros(10), CONNECTION_0, &surplus);
        assert_eq!(pools.take_outcomes(at_micros(20)), [Outcome::Served]);
        assert_eq!(pools.open_connections(), 0);
    }
}

/// A server may send the response to a part before it receives the cancellation of that part. The
/// first such response must be ignored; a second one violates the protocol.
#[test]
fn late_response_to_a_cancelled_attempt_is_ignored_once() {
    let mut pools = TestPools::new(limits());
    pools.send(START, attempts_of(1).parts(2));
    pools.write_frame(CONNECTION_0);
    pools.cancel(at_micros(10), attempt(1, 0));
    pools.receive_response(at_micros(20), CONNECTION_0, "q1.0");
    assert_eq!(pools.take_outcomes(at_micros(20)), [Outcome::Cancelled]);
    assert_eq!(pools.open_connections(), 1);
    pools.receive_response(at_micros(30), CONNECTION_0, "q1.0");
    assert_eq!(pools.take_outcomes(at_micros(30)), [Outcome::Error]);
    assert_eq!(pools.open_connections(), 0);
}

/// A slow server may respond to parts that were cancelled long ago, and to more of them than may be
/// in flight at the same time. These responses must not end the attempts in flight.
#[test]
fn late_responses_to_more_parts_than_may_be_in_flight_are_ignored() {
    let mut pools = TestPools::new(single_connection_limits());
    for query in 1..=limits().max_parts_per_connection as u64 + 2 {
        pools.send(START, attempts_of(query));
        let send_queue = pools.send_queue_of(CONNECTION_0);
        while send_queue.start_frame(START).is_some() {
            send_queue.finish_frame();
        }
        pools.cancel(at_micros(10), attempt(query, 0));
    }
    pools.send(at_micros(20), attempts_of(100));
    pools.take_ended_attempts(at_micros(20));
    pools.receive_response(at_micros(30), CONNECTION_0, "q1.0");
    pools.receive_response(at_micros(30), CONNECTION_0, "q100.0");
    assert_eq!(pools.take_outcomes(at_micros(30)), [Outcome::Served]);
    assert_eq!(pools.open_connections(), 1);
}

/// If the length of a frame is wrong, the rest of the frame may never arrive. The attempt must end
/// after the maximum stall time, which is the dial timeout, and not wait until its deadline.
#[test]
fn frame_that_makes_no_progress_is_invalid() {
    let max_stall = limits().dial_timeout;
    let mut pools = TestPools::new(limits());
    pools.send(START, attempts_of(1));
    pools.write_frame(CONNECTION_0);
    pools.receive(at_micros(10), CONNECTION_0, PARTIAL_FRAME);
    assert_eq!(pools.next_deadline(), Some(at_micros(10) + max_stall));
    pools.close_expired_connections(at_micros(9) + max_stall);
    assert_eq!(pools.open_connections(), 1);
    pools.close_expired_connections(at_micros(10) + max_stall);
    assert_eq!(pools.take_outcomes(at(SECOND / 2)), [Outcome::Error]);
    assert_eq!(pools.open_connections(), 0);
}

/// Guards against an incomplete value: the broker served a value whose frame had a length that was
/// too small, because it looked at the frame before it looked at what follows. The bytes behind the
/// frame may be the rest of the value, whether or not another response is outstanding.
#[test]
fn value_is_not_served_if_text_follows_it() {
    let texts = ["6", "b6a8", "\u{e9}", "rest\0\0\0\x04q"];
    for (parts, text) in [1, 2].into_iter().flat_map(|n| texts.map(|text| (n, text))) {
        let mut pools = TestPools::new(limits());
        pools.send(START, attempts_of(1).parts(parts));
        pools.write_frame(CONNECTION_0);
        let bytes = [response("q1.0"), text.as_bytes().to_vec()].concat();
        pools.receive(at_micros(10), CONNECTION_0, &bytes);
        let outcomes = pools.take_outcomes(at_micros(20));
        assert_eq!(outcomes.first(), Some(&Outcome::Error), "{text:?}");
        assert!(!outcomes.contains(&Outcome::Served), "{text:?}");
        assert_eq!(pools.open_connections(), 0);
    }
}

/// A data server may send a second response or noise behind a valid response. Unless the noise is
/// text, it cannot be the rest of the value, so the value is complete.
#[test]
fn value_is_served_if_a_frame_or_noise_that_is_no_text_follows_it() {
    for surplus in [response("q1.0"), UNKNOWN_KIND.to_vec(), vec![0xff, 0xfe]] {
        let mut pools = TestPools::new(limits());
        pools.send(START, attempts_of(1));
        pools.write_frame(CONNECTION_0);
        let bytes = [response("q1.0"), surplus].concat();
        pools.receive(at_micros(10), CONNECTION_0, &bytes);
        assert_eq!(pools.take_outcomes(at_micros(20)), [Outcome::Served]);
        assert!(pools.take_revoked().is_empty());
        assert_eq!(pools.open_connections(), 0);
    }
}

/// Guards against an incomplete value whose rest arrives later: the value must be revoked, unless
/// another frame started directly behind its own.
#[test]
fn value_is_revoked_if_text_follows_it_later() {
    for (is_confirmed, revoked) in [(false, vec![attempt(1, 0)]), (true, vec![])] {
        let mut pools = TestPools::new(PoolLimits {
            max_parts_per_call: 4,
            ..limits()
        });
        pools.send(START, attempts_of(1).parts(3));
        pools.write_frame(CONNECTION_0);
        pools.receive_response(at_micros(10), CONNECTION_0, "q1.0");
        if is_confirmed {
            let rejected = encode_part_response("q1.1", PartStatus::Rejected, 1, "");
            pools.receive(at_micros(10), CONNECTION_0, &rejected);
        }
        pools.receive(at_micros(20), CONNECTION_0, b"b6a8");
        assert_eq!(pools.take_revoked(), revoked);
        assert_eq!(pools.open_connections(), 0);
    }
}

/// Guards against a frame that ends with a chunk and is looked at alone: one read must take all
/// bytes that the socket holds, as they show whether the value is complete.
#[test]
fn one_read_takes_what_follows_a_whole_chunk() {
    let (broker, mut server) = socket_pair();
    let sent = vec![b'x'; READ_CHUNK_BYTES + 4];
    server.write_all(&sent).unwrap();
    let buffer = ReceiveBuffer::new(ReceiveBudget::new(2 * sent.len()));
    async_io::block_on(buffer.read_from(&broker)).unwrap();
    assert_eq!(buffer.len(), sent.len());
}

/// A server closes the connection after it has rejected a frame. Guards against a server that sends
/// rejections without end in place of closing it.
#[test]
fn rejected_frame_ends_its_connection() {
    let mut pools = TestPools::new(limits());
    pools.send(START, attempts_of(1));
    pools.write_frame(CONNECTION_0);
    pools.receive(at_micros(10), CONNECTION_0, b"\0\0\0\x04rbad");
    assert_eq!(
        pools.take_outcomes(at_micros(20)),
        [Outcome::ConnectionLost]
    );
    assert_eq!(pools.open_connections(), 0);
}
