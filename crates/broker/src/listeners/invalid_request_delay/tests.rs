//! Tests of the delay, with chosen times.

use super::*;

#[test]
fn delay_grows_with_each_invalid_request_up_to_its_maximum() {
    for invalid in 0..=UNDELAYED_REQUESTS {
        assert_eq!(delay(invalid), None);
    }
    assert_eq!(delay(UNDELAYED_REQUESTS + 1), Some(FIRST_DELAY));
    assert_eq!(delay(UNDELAYED_REQUESTS + 2), Some(2 * FIRST_DELAY));
    assert_eq!(delay(UNDELAYED_REQUESTS + 20), Some(MAX_DELAY));
    assert_eq!(delay(u32::MAX), Some(MAX_DELAY));
}

#[test]
fn valid_request_ends_the_delay() {
    let connection = InvalidRequestDelay::default();
    for _ in 0..UNDELAYED_REQUESTS + 10 {
        connection.on_answered(false);
    }
    assert!(connection.decode_at().is_some());
    connection.on_answered(true);
    assert_eq!(connection.decode_at(), None);
    for _ in 0..UNDELAYED_REQUESTS {
        connection.on_answered(false);
        assert_eq!(connection.decode_at(), None);
    }
}
