//! A token bucket whose callers pass the time.

use broker_types::time::{Timestamp, whole_micros};

/// Unit in which a bucket counts: a refill of one token a second adds one of them each microsecond.
const MILLIONTHS_PER_TOKEN: u64 = 1_000_000;

/// Tokens that refill at a constant rate up to a capacity.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TokenBucket {
    /// In millionths of a token, like `level`.
    capacity: u64,
    refill_per_second: u64,
    /// In millionths of a token, so that a refill of less than one token is not lost to rounding.
    level: u64,
    refilled_at: Timestamp,
}

impl TokenBucket {
    /// Creates a full bucket of `capacity` tokens, which refills by `refill_per_second` tokens a
    /// second.
    pub(crate) fn new(now: Timestamp, capacity: u32, refill_per_second: u32) -> Self {
        let capacity = u64::from(capacity) * MILLIONTHS_PER_TOKEN;
        TokenBucket {
            capacity,
            refill_per_second: u64::from(refill_per_second),
            level: capacity,
            refilled_at: now,
        }
    }

    /// Takes tokens if there are enough, and returns whether that was the case. Otherwise none is
    /// taken.
    pub(crate) fn try_take(&mut self, now: Timestamp, tokens: u32) -> bool {
        self.refill(now);
        let cost = u64::from(tokens) * MILLIONTHS_PER_TOKEN;
        let is_affordable = self.level >= cost;
        if is_affordable {
            self.level -= cost;
        }
        is_affordable
    }

    /// Adds tokens. Those beyond the capacity are lost.
    pub(crate) fn add(&mut self, tokens: u32) {
        self.add_millionths(u64::from(tokens) * MILLIONTHS_PER_TOKEN);
    }

    /// Adds the tokens of the time since the last refill. A clock that goes back refills nothing.
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
