//! Tests of the conversion of Unix times, with a clock whose Unix time at the origin is fixed.

use super::*;

#[test]
fn unix_time_is_converted_relative_to_clock_origin() {
    let clock = Clock {
        origin: Instant::now(),
        unix_origin_ms: 1_000_000,
    };
    let at = SignedTimestamp::from_micros;
    assert_eq!(clock.at_unix_ms(1_000_250), at(250_000));
    assert_eq!(clock.at_unix_ms(999_000), at(-1_000_000));
    assert_eq!(clock.at_unix_ms(i64::MIN), at(i64::MIN));
}
