//! Tests of the bounds of the backoff's delays.

use super::*;

#[test]
fn delay_doubles_up_to_its_limit_with_jitter_of_at_most_half_and_restarts_after_reset() {
    let mut backoff = Backoff::new(Rng::with_seed(7));
    for full_ms in [20, 40, 80, 160, 250, 250] {
        let full = Duration::from_millis(full_ms);
        let delay = backoff.next_delay();
        assert!(
            full / 2 <= delay && delay <= full,
            "delay {delay:?} is not between half and all of {full:?}"
        );
    }
    backoff.reset();
    assert!(backoff.next_delay() <= MIN_DELAY);
}
