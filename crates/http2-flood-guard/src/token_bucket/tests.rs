//! The token bucket by itself.

use super::TokenBucket;

#[test]
fn tokens_refill_with_time_up_to_capacity() {
    let mut bucket = TokenBucket::new(0, 2, 10);
    assert!(bucket.try_take(0, 2) && !bucket.try_take(0, 1));
    assert!(!bucket.try_take(99_999, 1) && bucket.try_take(100_000, 1));
    bucket.add(9);
    assert!(bucket.try_take(100_000, 2) && !bucket.try_take(100_000, 1));
    assert!(
        !bucket.try_take(50_000, 1),
        "a clock that goes back refills nothing"
    );
    assert!(bucket.try_take(u64::MAX, 2) && !bucket.try_take(u64::MAX, 1));
}
