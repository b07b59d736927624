//! The program's clock, and a function that runs an asynchronous operation with a time limit. The
//! clock measures the time since it was started, by the system's monotonic clock.

use async_io::Timer;
use broker_types::time::{SignedTimestamp, Timestamp, whole_micros};
use futures_lite::FutureExt;
use std::io;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Microseconds in a millisecond.
const MICROS_PER_MILLISECOND: i64 = 1000;

/// The clock of the program. All copies of a clock have the same origin.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    /// Unix time at the origin, in milliseconds.
    unix_origin_ms: i64,
}

impl Clock {
    /// Creates a clock whose origin is the current time.
    #[must_use]
    pub fn start() -> Self {
        let unix = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            origin: Instant::now(),
            unix_origin_ms: unix.as_millis() as i64,
        }
    }

    /// Returns the current time, relative to the clock's origin.
    #[must_use]
    pub fn now(&self) -> Timestamp {
        self.timestamp(Instant::now())
    }

    /// Converts a time on this clock to an [`Instant`], the type that timers take.
    #[must_use]
    pub fn instant(&self, at: Timestamp) -> Instant {
        self.origin + at.saturating_since(Timestamp::ORIGIN)
    }

    /// Converts an [`Instant`] to a time on this clock. An instant before the clock's origin becomes
    /// the origin.
    #[must_use]
    pub fn timestamp(&self, instant: Instant) -> Timestamp {
        let since_origin = instant.saturating_duration_since(self.origin);
        Timestamp::from_micros(whole_micros(since_origin))
    }

    /// Converts a Unix time in milliseconds to a time on this clock. The result is negative if the
    /// Unix time lies before the clock's origin.
    #[must_use]
    pub fn at_unix_ms(&self, unix_ms: i64) -> SignedTimestamp {
        let ms_since_origin = unix_ms.saturating_sub(self.unix_origin_ms);
        SignedTimestamp::from_micros(ms_since_origin.saturating_mul(MICROS_PER_MILLISECOND))
    }
}

/// Runs an operation with a time limit. An operation that has not completed within `limit` is
/// dropped.
///
/// # Errors
///
/// Returns the operation's own error, or [`io::ErrorKind::TimedOut`] if the operation does not
/// complete within `limit`.
pub async fn with_timeout<T>(
    limit: Duration,
    operation: impl Future<Output = io::Result<T>>,
) -> io::Result<T> {
    let timeout = async {
        Timer::after(limit).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    operation.or(timeout).await
}

#[cfg(test)]
mod tests;
