//! Tests of points in time and of the conversion of time spans.

use broker_types::time::{Timestamp, millis, whole_micros};
use std::time::Duration;

#[test]
fn milliseconds_are_rounded_to_whole_microseconds_and_negative_spans_to_zero() {
    assert_eq!(millis(1.2345), Duration::from_micros(1235));
    assert_eq!(millis(-3.0), Duration::ZERO);
}

#[test]
fn timestamp_arithmetic_saturates() {
    let at = Timestamp::from_micros(1000);
    assert_eq!(at + Duration::from_millis(2), Timestamp::from_micros(3000));
    assert_eq!(at + Duration::MAX, Timestamp::MAX);
    assert_eq!(Timestamp::MAX + Duration::from_secs(1), Timestamp::MAX);
    assert_eq!(at - Duration::from_micros(1), Timestamp::from_micros(999));
    assert_eq!(at - Duration::MAX, Timestamp::ORIGIN);
    assert_eq!(
        at.saturating_since(Timestamp::ORIGIN),
        Duration::from_millis(1)
    );
    assert_eq!(Timestamp::ORIGIN.saturating_since(at), Duration::ZERO);
}

#[test]
fn fractions_of_a_microsecond_are_ignored() {
    assert_eq!(whole_micros(Duration::from_nanos(1999)), 1);
    assert_eq!(whole_micros(Duration::MAX), u64::MAX);
    let at = Timestamp::ORIGIN + Duration::from_nanos(1999);
    assert_eq!(at, Timestamp::from_micros(1));
}

/// Timestamps appear in the log within the debug format of other values.
#[test]
fn timestamp_is_formatted_as_a_number_of_microseconds() {
    let at = Timestamp::from_micros(1_250_000);
    assert_eq!(format!("{at} {:?}", Some(at)), "1250000 Some(1250000)");
}
