//! Exponential backoff with jitter.

use fastrand::Rng;
use std::time::Duration;

/// The first delay. It is well below the 200 ms for which a watch may pause.
pub(super) const MIN_DELAY: Duration = Duration::from_millis(20);
/// The longest delay. It is short because the broker counts as notified of a change even if it is
/// just waiting.
const MAX_DELAY: Duration = Duration::from_millis(250);
/// Share of a delay that is random, so that brokers which failed together do not retry together.
const JITTER: f64 = 0.5;

/// Delays between attempts that fail in succession.
pub(super) struct Backoff {
    delay: Duration,
    rng: Rng,
}

impl Backoff {
    /// Returns a backoff that starts with the first delay.
    pub(super) fn new(rng: Rng) -> Self {
        Backoff {
            delay: MIN_DELAY,
            rng,
        }
    }

    /// Returns the delay before the next attempt, and doubles the one after it up to the longest.
    pub(super) fn next_delay(&mut self) -> Duration {
        let delay = self.delay.mul_f64(1.0 - self.rng.f64() * JITTER);
        self.delay = (self.delay * 2).min(MAX_DELAY);
        delay
    }

    /// Starts again with the first delay, after a success.
    pub(super) fn reset(&mut self) {
        self.delay = MIN_DELAY;
    }
}

#[cfg(test)]
mod tests;
