//! Time in whole microseconds, from an origin that the program chooses.

/// A time on the program's clock, or a time span, in microseconds.
pub type Micros = u64;

/// Microseconds in a millisecond.
pub const MILLI: Micros = 1000;

/// Microseconds in a second.
pub const SECOND: Micros = 1_000_000;

/// Converts a time span from milliseconds, rounded to whole microseconds. A negative span counts as 0.
#[must_use]
pub fn millis(ms: f64) -> Micros {
    (ms.max(0.0) * MILLI as f64).round() as Micros
}
