//! Exponential backoff with jitter, for the delays after failed polls of discovery.

use fastrand::Rng;
use std::time::Duration;

/// The full delay after the first failure. The watcher also pauses for this time if discovery
/// responds to a poll long before the end of the requested wait although the list has not changed.
/// It must be well below 200 ms: in the discovery protocol, a watch continues only if the next poll
/// is sent within 200 ms of the last response, and a later poll starts a new watch.
pub(super) const MIN_DELAY: Duration = Duration::from_millis(20);
/// The maximum full delay. It is short because the delays count towards the 6 s within which a
/// failed watch must be replaced; see [`POLL_WAIT`](super::client::POLL_WAIT).
const MAX_DELAY: Duration = Duration::from_millis(250);
/// Maximum share of a full delay that is subtracted at random. It prevents brokers whose watches
/// failed at the same time from also reconnecting at the same time.
const JITTER: f64 = 0.5;

/// The delays between failed polls and the polls that follow them.
pub(super) struct Backoff {
    /// The next full delay, from which the jitter has not been subtracted.
    full_delay: Duration,
    rng: Rng,
}

impl Backoff {
    /// Creates a backoff that starts with [`MIN_DELAY`].
    pub(super) fn new(rng: Rng) -> Self {
        Backoff {
            full_delay: MIN_DELAY,
            rng,
        }
    }

    /// Returns the delay before the next poll: the full delay less the jitter. Doubles the full
    /// delay for the next call, up to [`MAX_DELAY`].
    pub(super) fn next_delay(&mut self) -> Duration {
        let delay = self.full_delay.mul_f64(1.0 - self.rng.f64() * JITTER);
        self.full_delay = (self.full_delay * 2).min(MAX_DELAY);
        delay
    }

    /// Resets the next full delay to [`MIN_DELAY`]. This is called after a success.
    pub(super) fn reset(&mut self) {
        self.full_delay = MIN_DELAY;
    }
}

#[cfg(test)]
mod tests;
