//! Points in time on the program's clock, in whole microseconds. A time span is a [`Duration`].
//!
//! The program chooses the origin of the clock. Arithmetic saturates: a result before the origin
//! becomes [`Timestamp::ORIGIN`], and a result beyond the range becomes [`Timestamp::MAX`].

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
    /// The origin of the clock, which is the earliest representable time.
    pub const ORIGIN: Timestamp = Timestamp::from_micros(0);
    /// The latest representable time. The clock never reaches it.
    pub const MAX: Timestamp = Timestamp::from_micros(u64::MAX);

    /// Creates the point in time that is `micros_since_origin` microseconds after the origin.
    #[must_use]
    pub const fn from_micros(micros_since_origin: u64) -> Self {
        Timestamp {
            micros_since_origin,
        }
    }

    /// Returns the number of microseconds since the origin.
    #[must_use]
    pub const fn as_micros(self) -> u64 {
        self.micros_since_origin
    }

    /// Returns the time from `earlier` to this point in time; zero if this point in time is before
    /// `earlier`.
    #[must_use]
    pub const fn saturating_since(self, earlier: Timestamp) -> Duration {
        let micros = self.micros_since_origin;
        Duration::from_micros(micros.saturating_sub(earlier.micros_since_origin))
    }
}

/// Returns the point in time that is `span` later. The fraction of a microsecond in `span` is
/// ignored.
impl Add<Duration> for Timestamp {
    type Output = Timestamp;

    fn add(self, span: Duration) -> Timestamp {
        Timestamp::from_micros(self.micros_since_origin.saturating_add(whole_micros(span)))
    }
}

/// Returns the point in time that is `span` earlier. The fraction of a microsecond in `span` is
/// ignored.
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

/// Formatted like [`Display`](fmt::Display), so that a timestamp within another value appears as a
/// plain number in the log.
impl fmt::Debug for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// A point in time on the program's clock that may lie before the origin. For example, if the origin
/// is the start of the broker, a data server may have started before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SignedTimestamp {
    micros_since_origin: i64,
}

impl SignedTimestamp {
    /// Creates the point in time that is `micros_since_origin` microseconds after the origin. A
    /// negative number stands for a time before the origin.
    #[must_use]
    pub const fn from_micros(micros_since_origin: i64) -> Self {
        SignedTimestamp {
            micros_since_origin,
        }
    }

    /// Returns the number of microseconds since the origin, which is negative for a time before the
    /// origin.
    #[must_use]
    pub const fn as_micros(self) -> i64 {
        self.micros_since_origin
    }
}

/// Returns the number of whole microseconds in a time span; [`u64::MAX`] if the number is greater.
#[must_use]
pub fn whole_micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

/// Converts a number of milliseconds to a time span, rounded to whole microseconds. A negative
/// number becomes a span of zero.
#[must_use]
pub fn millis(ms: f64) -> Duration {
    Duration::from_micros((ms.max(0.0) * MICROS_PER_MILLISECOND).round() as u64)
}
