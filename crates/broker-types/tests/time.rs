//! Conversion of time spans.

use broker_types::time::millis;

#[test]
fn milliseconds_are_rounded_to_whole_microseconds_and_negative_spans_to_zero() {
    assert_eq!(millis(1.2345), 1235);
    assert_eq!(millis(-3.0), 0);
}
