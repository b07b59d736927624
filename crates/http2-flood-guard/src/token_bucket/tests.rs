//! The token bucket by itself.

use super::TokenBucket;
use broker_types::time::Timestamp;

/// A time in microseconds.
const fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

#[test]
fn tokens_refill_with_time_up_to_capacity() {
    let mut bucket = TokenBucket::new(at(0), 2, 10);
    assert!(bucket.try_take(at(0), 2) && !bucket.try_take(at(0), 1));
    assert!(!bucket.try_take(at(99_999), 1) && bucket.try_take(at(100_000), 1));
    bucket.add(9);
    assert!(bucket.try_take(at(100_000), 2) && !bucket.try_take(at(100_000), 1));
    assert!(
        !bucket.try_take(at(50_000), 1),
        "a clock that goes back refills nothing"
    );
    assert!(bucket.try_take(Timestamp::MAX, 2) && !bucket.try_take(Timestamp::MAX, 1));
}
