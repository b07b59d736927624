//! The `X-Deadline` header: how long a client waits.

use crate::limits::MAX_CLIENT_TIMEOUT;
use std::time::Duration;

/// Microseconds in a millisecond.
const MICROS_PER_MILLISECOND: f64 = 1000.0;

/// Parses a time span such as `480m`, in milliseconds, or `1500u`, in microseconds. Returns `None`
/// where it has no such form or exceeds [`MAX_CLIENT_TIMEOUT`].
pub(crate) fn parse_deadline(text: &str) -> Option<Duration> {
    let unit_position = text.len().checked_sub(1)?;
    let (number, unit) = text.split_at_checked(unit_position)?;
    let micros_per_unit = match unit {
        "m" => MICROS_PER_MILLISECOND,
        "u" => 1.0,
        _ => return None,
    };
    // The standard library's parser alone would accept signs, exponents and words such as "inf".
    let is_decimal = number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    if !is_decimal {
        return None;
    }
    let micros = number.parse::<f64>().ok()? * micros_per_unit;
    let max_micros = MAX_CLIENT_TIMEOUT.as_micros() as f64;
    (micros <= max_micros).then(|| Duration::from_micros(micros as u64))
}

#[cfg(test)]
mod tests;
