//! Parsing of the `X-Deadline` header, the time that a client waits for the response.

use crate::limits::MAX_CLIENT_TIMEOUT;
use std::time::Duration;

/// Microseconds in a millisecond.
const MICROS_PER_MILLISECOND: f64 = 1000.0;

/// Parses a duration: a decimal number with the unit `m` for milliseconds, such as `480m`, or `u`
/// for microseconds, such as `1500u`. Returns `None` if the text has another form or the duration
/// exceeds [`MAX_CLIENT_TIMEOUT`].
pub(crate) fn parse_deadline(text: &str) -> Option<Duration> {
    let unit_position = text.len().checked_sub(1)?;
    let (number, unit) = text.split_at_checked(unit_position)?;
    let micros_per_unit = match unit {
        "m" => MICROS_PER_MILLISECOND,
        "u" => 1.0,
        _ => return None,
    };
    // The standard library's parser would also accept signs, exponents and words such as "inf".
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
