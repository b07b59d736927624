//! Tests of the token bucket without the guard.

use super::TokenBucket;
use broker_types::time::Timestamp;

/// Returns the timestamp `micros` microseconds after the origin of the clock.
const fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

#[test]
fn tokens_refill_with_time_up_to_capacity() {
    // Two tokens at most. Ten tokens per second are one token in 100 ms.
    let mut bucket = TokenBucket::new(at(0), 2, 10);
    assert!(bucket.try_take(at(0), 2) && !bucket.try_take(at(0), 1));
    assert!(!bucket.try_take(at(99_999), 1) && bucket.try_take(at(100_000), 1));
    // Only two of the nine tokens fit.
    bucket.add(9);
    assert!(bucket.try_take(at(100_000), 2) && !bucket.try_take(at(100_000), 1));
    assert!(
        !bucket.try_take(at(50_000), 1),
        "a time before the last refill must not add tokens"
    );
    // The refill for the longest possible time does not overflow.
    assert!(bucket.try_take(Timestamp::MAX, 2) && !bucket.try_take(Timestamp::MAX, 1));
}
