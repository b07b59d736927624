//! The clock of the program, in microseconds on the monotonic clock since the program started, and time limits.

use async_io::Timer;
use broker_types::time::{MILLI, Micros};
use futures_lite::FutureExt;
use std::io;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The clock of the program. All copies of a clock have the same origin.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    origin: Instant,
    /// Unix time at the origin, in milliseconds.
    unix_origin_ms: i64,
}

impl Clock {
    /// Returns a clock whose origin is now.
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

    /// Returns the time since the origin.
    #[must_use]
    pub fn now(&self) -> Micros {
        self.origin.elapsed().as_micros() as Micros
    }

    /// Converts a time on this clock to an instant, as timers need it.
    #[must_use]
    pub fn instant(&self, at: Micros) -> Instant {
        self.origin + to_duration(at)
    }

    /// Converts a Unix time in milliseconds to microseconds on this clock; negative before the origin.
    #[must_use]
    pub fn at_unix_ms(&self, unix_ms: i64) -> i64 {
        unix_ms
            .saturating_sub(self.unix_origin_ms)
            .saturating_mul(MILLI as i64)
    }
}

/// Converts a number of microseconds to a duration.
#[must_use]
pub fn to_duration(time: Micros) -> Duration {
    Duration::from_micros(time)
}

/// Runs an operation with a time limit. Once the limit has passed, the operation is dropped.
///
/// # Errors
///
/// The operation's own error, or [`io::ErrorKind::TimedOut`] if the operation does not complete in time.
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
