//! Points in time on the program's clock, in whole microseconds, and time spans, which are
//! [`Duration`]s.
//!
//! The origin of the clock is chosen by the program. Arithmetic saturates: a time that would lie
//! before the origin is the origin, and one that would be too late to count is [`Timestamp::MAX`].

use std::fmt;
use std::ops::{Add, Sub};
use std::time::Duration;

/// Microseconds in a millisecond.
const MICROS_PER_MILLISECOND: f64 = 1000.0;

/// A point in time on the program's clock.
#[derive(Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Timestamp {
    micros_since_origin: u64,
}

impl Timestamp {
    /// The origin of the clock, which is the earliest time.
    pub const ORIGIN: Timestamp = Timestamp::from_micros(0);
    /// The latest time, which is never reached.
    pub const MAX: Timestamp = Timestamp::from_micros(u64::MAX);

    /// The time so many microseconds after the origin.
    #[must_use]
    pub const fn from_micros(micros_since_origin: u64) -> Self {
        Timestamp {
            micros_since_origin,
        }
    }

    /// Microseconds since the origin.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.micros_since_origin
    }

    /// The time since an earlier one; zero where that is later.
    #[must_use]
    pub const fn saturating_since(self, earlier: Timestamp) -> Duration {
        let micros = self.micros_since_origin;
        Duration::from_micros(micros.saturating_sub(earlier.micros_since_origin))
    }
}

/// The later time by a span, which counts in whole microseconds.
impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, span: Duration) -> Timestamp {
        Timestamp::from_micros(self.micros_since_origin.saturating_add(whole_micros(span)))
    }
}

/// The earlier time by a span, which counts in whole microseconds.
impl Sub<Duration> for Timestamp {
    type Output = Timestamp;

    fn sub(self, span: Duration) -> Timestamp {
        Timestamp::from_micros(self.micros_since_origin.saturating_sub(whole_micros(span)))
    }
}

/// Displayed as the number of microseconds since the origin.
impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.micros_since_origin.fmt(f)
    }
}

/// The same as its display, so that the log shows a bare number within other values.
impl fmt::Debug for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// A point in time on the program's clock that may lie before its origin, as the start of another
/// process may.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SignedTimestamp {
    micros_since_origin: i64,
}

impl SignedTimestamp {
    /// The time so many microseconds after the origin, or before it where they are negative.
    #[must_use]
    pub const fn from_micros(micros_since_origin: i64) -> Self {
        SignedTimestamp {
            micros_since_origin,
        }
    }

    /// Microseconds since the origin, negative before it.
    #[must_use]
    pub const fn as_micros(self) -> i64 {
        self.micros_since_origin
    }
}

/// Whole microseconds in a time span; the greatest number where there are more.
#[must_use]
pub fn whole_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Converts a time span from milliseconds, rounded to whole microseconds. A negative span counts as
/// 0.
#[must_use]
pub fn millis(ms: f64) -> Duration {
    Duration::from_micros((ms.max(0.0) * MICROS_PER_MILLISECOND).round() as u64)
}
