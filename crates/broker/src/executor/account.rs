//! How much of the thread's time a connection uses.

use std::time::{Duration, Instant};

/// A connection may use this part of the time, in the long run, without being a heavy user.
const ALLOWANCE_DIVISOR: u32 = 1_000;
/// Use beyond the allowance with which a connection is a heavy user: far more than a usual request
/// takes.
const HEAVY_DEBT: Duration = Duration::from_micros(250);
/// Maximum of the use beyond the allowance. It limits the time for which a connection remains a
/// heavy user to a second.
const MAX_DEBT: Duration = Duration::from_millis(1);

/// How much a connection has used lately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Usage {
    /// No more than its allowance.
    Light,
    /// More than its allowance.
    Heavy,
}

/// The time that one connection has used beyond its allowance: a leaky bucket.
#[derive(Clone, Copy, Debug)]
pub(super) struct Account {
    debt: Duration,
    updated_at: Instant,
}

impl Account {
    /// Creates the account of a connection that has used nothing.
    pub(super) fn new(now: Instant) -> Self {
        Account {
            debt: Duration::ZERO,
            updated_at: now,
        }
    }

    /// Records that the connection has used this time, up to `now`.
    pub(super) fn charge(&mut self, now: Instant, used: Duration) {
        self.debt = self.debt_at(now).saturating_add(used).min(MAX_DEBT);
        self.updated_at = now;
    }

    /// Returns how much the connection has used lately.
    pub(super) fn usage(&self, now: Instant) -> Usage {
        if self.debt_at(now) > HEAVY_DEBT {
            Usage::Heavy
        } else {
            Usage::Light
        }
    }

    fn debt_at(&self, now: Instant) -> Duration {
        let elapsed = now.saturating_duration_since(self.updated_at);
        self.debt.saturating_sub(elapsed / ALLOWANCE_DIVISOR)
    }
}

#[cfg(test)]
mod tests;
