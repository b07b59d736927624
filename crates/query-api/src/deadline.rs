//! The `X-Deadline` header: how long a client waits.

use crate::limits::MAX_CLIENT_TIMEOUT;
use broker_types::time::{MILLI, Micros};

/// Parses a time span such as `480m`, in milliseconds, or `1500u`, in microseconds. Returns `None` where it has no such
/// form or exceeds [`MAX_CLIENT_TIMEOUT`].
pub(crate) fn parse_deadline(text: &str) -> Option<Micros> {
    let unit_position = text.len().checked_sub(1)?;
    let (number, unit) = text.split_at_checked(unit_position)?;
    let micros_per_unit = match unit {
        "m" => MILLI as f64,
        "u" => 1.0,
        _ => return None,
    };
    // The standard library's parser alone would accept signs, exponents and words such as "inf".
    let is_decimal = number.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    if !is_decimal {
        return None;
    }
    let micros = number.parse::<f64>().ok()? * micros_per_unit;
    (micros <= MAX_CLIENT_TIMEOUT as f64).then_some(micros as Micros)
}

#[cfg(test)]
mod tests;
