//! Tests of the format of a query's unserved attempts in the log.

use super::*;
use broker_types::query::{PartIndex, QueryId};

fn attempt(part: usize, attempt: u32) -> AttemptId {
    AttemptId {
        query: QueryId(7),
        part: PartIndex(part),
        attempt,
    }
}

/// Creates a time from microseconds.
fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

fn server(name: &str) -> NodeId {
    NodeId(name.into())
}

#[test]
fn unserved_attempts_are_formatted_with_times_since_receipt_and_served_ones_omitted() {
    let mut log = AttemptLog::default();
    log.record_sent(at(5000), attempt(0, 0), server("s1"));
    log.record_sent(at(5000), attempt(1, 0), server("s2"));
    log.record_sent(at(5000), attempt(2, 0), server("s1"));
    log.record_ended(at(9000), attempt(0, 0), Outcome::Error);
    log.record_ended(at(9000), attempt(1, 0), Outcome::Served);
    log.record_sent(at(10_900), attempt(0, 1), server("s2"));
    log.record_ended(at(25_000), attempt(0, 1), Outcome::TimedOut);
    assert_eq!(log.len(), 4);
    assert_eq!(
        log.format_unserved(at(4000)),
        "0.0@s1+1:Error/5 2.0@s1+1:out 0.1@s2+6:TimedOut/21"
    );
}
