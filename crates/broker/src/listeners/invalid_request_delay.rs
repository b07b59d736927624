//! Slows down a client whose requests keep being invalid.
//!
//! An invalid request is answered at once. If several invalid requests follow one another on a
//! connection, the next request on it is not decoded before a delay has passed, which grows with
//! each of them up to [`MAX_DELAY`]. A valid request ends this.

use async_io::Timer;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Number of invalid requests in a row that are not followed by a delay.
const UNDELAYED_REQUESTS: u32 = 4;
/// First delay. Each further invalid request doubles it.
const FIRST_DELAY: Duration = Duration::from_millis(10);
/// Maximum delay. A request that waits for it is still answered within half a second after its
/// time.
const MAX_DELAY: Duration = Duration::from_millis(400);

/// The delay of one connection.
#[derive(Default)]
pub(super) struct InvalidRequestDelay {
    /// Number of invalid requests since the last valid one.
    invalid_in_a_row: Cell<u32>,
    /// Time before which no request is decoded.
    decode_at: Cell<Option<Instant>>,
}

impl InvalidRequestDelay {
    /// Records that a request was answered.
    pub(super) fn on_answered(&self, is_valid: bool) {
        let invalid = if is_valid {
            0
        } else {
            self.invalid_in_a_row.get().saturating_add(1)
        };
        self.invalid_in_a_row.set(invalid);
        let decode_at = delay(invalid).map(|delay| Instant::now() + delay);
        self.decode_at.set(decode_at);
    }

    /// Returns the time at which a request may be decoded that has been received, or `None` if that
    /// is now.
    pub(super) fn decode_at(&self) -> Option<Instant> {
        self.decode_at.get().filter(|at| Instant::now() < *at)
    }

    /// Waits until a request may be decoded that has just been received. Invalid requests that are
    /// answered meanwhile on other streams do not prolong the wait. Returns when the delay ended, if
    /// there was one.
    pub(super) async fn wait(&self) -> Option<Instant> {
        let decode_at = self.decode_at()?;
        Timer::at(decode_at).await;
        Some(decode_at)
    }
}

/// Returns the delay after this number of invalid requests in a row.
fn delay(invalid_in_a_row: u32) -> Option<Duration> {
    let doublings = invalid_in_a_row.checked_sub(UNDELAYED_REQUESTS + 1)?;
    let factor = 2u32.saturating_pow(doublings);
    Some(FIRST_DELAY.saturating_mul(factor).min(MAX_DELAY))
}

#[cfg(test)]
mod tests;
