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
    let (now, connection) = (Instant::now(), InvalidRequestDelay::default());
    for _ in 0..=UNDELAYED_REQUESTS {
        assert_eq!(connection.decode_at(now), None);
        connection.on_answered(now, false);
    }
    assert_eq!(connection.decode_at(now), Some(now + FIRST_DELAY));
    assert_eq!(connection.decode_at(now + FIRST_DELAY), None);
    connection.on_answered(now, true);
    assert_eq!(connection.decode_at(now), None);
    connection.on_answered(now, false);
    assert_eq!(connection.decode_at(now), None);
}
