//! Tests of the limit of one line per second for each event.

use super::{Limiter, MIN_LINE_INTERVAL};
use std::time::Instant;

#[test]
fn lines_of_an_event_within_a_second_are_counted_and_left_out() {
    let limiter = Limiter::default();
    let start = Instant::now();
    assert_eq!(limiter.admit("repeated", start), Some(0));
    assert_eq!(
        limiter.admit("repeated", start + MIN_LINE_INTERVAL / 2),
        None
    );
    assert_eq!(
        limiter.admit("other", start + MIN_LINE_INTERVAL / 2),
        Some(0)
    );
    assert_eq!(
        limiter.admit("repeated", start + MIN_LINE_INTERVAL),
        Some(1)
    );
}
