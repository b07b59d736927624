//! Tests of the token bucket without the guard.

use super::TokenBucket;
use broker_types::time::Timestamp;

/// Returns the time this many microseconds after the origin.
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
        "a time before the last refill must not add tokens"
    );
    assert!(bucket.try_take(Timestamp::MAX, 2) && !bucket.try_take(Timestamp::MAX, 1));
}
