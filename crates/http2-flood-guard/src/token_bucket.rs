//! A token bucket. Its callers pass the current time.

use broker_types::time::{Timestamp, whole_micros};

/// Number of millionths in a token. A bucket counts in millionths of a token, because time is
/// counted in microseconds: a refill rate of one token per second adds one millionth per
/// microsecond.
const MILLIONTHS_PER_TOKEN: u64 = 1_000_000;

/// Tokens that refill at a constant rate up to a capacity.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    /// Maximum level, in millionths of a token.
    capacity: u64,
    /// Refill rate, in tokens per second.
    refill_per_second: u64,
    /// Current level. It is counted in millionths of a token, so that a refill of less than one
    /// token is not lost to rounding.
    level: u64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// Creates a full bucket that holds at most `capacity` tokens and is refilled with
    /// `refill_per_second` tokens per second.
    pub(crate) fn new(now: Timestamp, capacity: u32, refill_per_second: u32) -> Self {
        let capacity = u64::from(capacity) * MILLIONTHS_PER_TOKEN;
        TokenBucket {
            capacity,
            refill_per_second: u64::from(refill_per_second),
            level: capacity,
            refilled_at: now,
        }
    }

    /// Takes the given number of tokens and returns `true`. If the bucket holds fewer, takes none
    /// and returns `false`.
    pub(crate) fn try_take(&mut self, now: Timestamp, tokens: u32) -> bool {
        self.refill(now);
        let cost = u64::from(tokens) * MILLIONTHS_PER_TOKEN;
        let is_affordable = self.level >= cost;
        if is_affordable {
            self.level -= cost;
        }
        is_affordable
    }

    /// Adds tokens up to the capacity; any further tokens are discarded.
    pub(crate) fn add(&mut self, tokens: u32) {
        self.add_millionths(u64::from(tokens) * MILLIONTHS_PER_TOKEN);
    }

    /// Adds the tokens for the time since the last refill. If `now` is before the last refill, adds
    /// none.
    fn refill(&mut self, now: Timestamp) {
        let elapsed = now.saturating_since(self.refilled_at);
        self.refilled_at = self.refilled_at.max(now);
        self.add_millionths(whole_micros(elapsed).saturating_mul(self.refill_per_second));
    }

    fn add_millionths(&mut self, millionths: u64) {
        self.level = self.level.saturating_add(millionths).min(self.capacity);
    }
}

#[cfg(test)]
mod tests;
