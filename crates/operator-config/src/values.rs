//! Arguments as typed values.

use broker_types::time::whole_micros;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;
use thiserror::Error;

/// What an argument should have been. Bounds are inclusive.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidValue {
    /// A socket address.
    #[error("expected an address with a port, such as 127.0.0.1:8081 or [::1]:8081")]
    Address,
    /// A whole number within bounds.
    #[error("expected a whole number from {min} to {max}")]
    WholeNumber {
        /// The least.
        min: u64,
        /// The greatest.
        max: u64,
    },
    /// A size with its unit, within bounds in bytes.
    #[error(
        "expected a size from {} to {} with its unit (B, KiB, MiB)",
        format_with_unit(*.min, SIZE_UNITS),
        format_with_unit(*.max, SIZE_UNITS)
    )]
    Size {
        /// The least, in bytes.
        min: u64,
        /// The greatest, in bytes.
        max: u64,
    },
    /// A duration with its unit, within bounds.
    #[error(
        "expected a time from {} to {} with its unit (us, ms, s, min)",
        format_with_unit(whole_micros(*.min), DURATION_UNITS),
        format_with_unit(whole_micros(*.max), DURATION_UNITS)
    )]
    Duration {
        /// The shortest.
        min: Duration,
        /// The longest.
        max: Duration,
    },
    /// One of several words.
    #[error("expected one of {}", .names.join(", "))]
    Choice {
        /// The words.
        names: Vec<&'static str>,
    },
}

/// A unit, as a multiple of the smallest unit.
struct Unit {
    name: &'static str,
    factor: u64,
}

/// Units of a size, smallest first; factors in bytes.
const SIZE_UNITS: &[Unit] = &[unit("B", 1), unit("KiB", 1 << 10), unit("MiB", 1 << 20)];

/// Units of a duration, smallest first; factors in microseconds.
const DURATION_UNITS: &[Unit] = &[
    unit("us", 1),
    unit("ms", 1000),
    unit("s", 1_000_000),
    unit("min", 60_000_000),
];

const fn unit(name: &'static str, factor: u64) -> Unit {
    Unit { name, factor }
}

/// A word and the value that it stands for.
pub(crate) struct Choice<T> {
    name: &'static str,
    value: T,
}

/// A word and the value that it stands for.
pub(crate) const fn choice<T: Copy>(name: &'static str, value: T) -> Choice<T> {
    Choice { name, value }
}

/// Parses a socket address.
pub(crate) fn parse_address(word: &str) -> Result<SocketAddr, InvalidValue> {
    word.parse().map_err(|_| InvalidValue::Address)
}

/// Parses a whole number, written in digits alone.
pub(crate) fn parse_whole_number(
    word: &str,
    bounds: &RangeInclusive<u64>,
) -> Result<u64, InvalidValue> {
    let invalid = InvalidValue::WholeNumber {
        min: *bounds.start(),
        max: *bounds.end(),
    };
    if !word.bytes().all(|b| b.is_ascii_digit()) {
        return Err(invalid);
    }
    match word.parse() {
        Ok(number) if bounds.contains(&number) => Ok(number),
        _ => Err(invalid),
    }
}

/// Parses a size with its unit, into bytes.
pub(crate) fn parse_size(word: &str, bounds: &RangeInclusive<u64>) -> Result<u64, InvalidValue> {
    parse_with_unit(word, SIZE_UNITS)
        .filter(|size| bounds.contains(size))
        .ok_or_else(|| InvalidValue::Size {
            min: *bounds.start(),
            max: *bounds.end(),
        })
}

/// Parses a duration with its unit.
pub(crate) fn parse_duration(
    word: &str,
    bounds: &RangeInclusive<Duration>,
) -> Result<Duration, InvalidValue> {
    parse_with_unit(word, DURATION_UNITS)
        .map(Duration::from_micros)
        .filter(|duration| bounds.contains(duration))
        .ok_or_else(|| InvalidValue::Duration {
            min: *bounds.start(),
            max: *bounds.end(),
        })
}

/// The value whose name the word is.
pub(crate) fn parse_choice<T: Copy>(word: &str, choices: &[Choice<T>]) -> Result<T, InvalidValue> {
    match choices.iter().find(|choice| choice.name == word) {
        Some(choice) => Ok(choice.value),
        None => Err(InvalidValue::Choice {
            names: choices.iter().map(|choice| choice.name).collect(),
        }),
    }
}

/// Digits and one of the units, as a number of the smallest unit.
fn parse_with_unit(word: &str, units: &[Unit]) -> Option<u64> {
    let digits = word.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit_name) = word.split_at(digits);
    let unit = units.iter().find(|unit| unit.name == unit_name)?;
    let number: u64 = number.parse().ok()?;
    number.checked_mul(unit.factor)
}

/// A value in the largest unit that writes it as a whole number.
fn format_with_unit(value: u64, units: &[Unit]) -> String {
    let fits = |unit: &&Unit| value >= unit.factor && value.is_multiple_of(unit.factor);
    let unit = units.iter().rev().find(fits).unwrap_or(&units[0]);
    format!("{}{}", value / unit.factor, unit.name)
}

#[cfg(test)]
mod tests;
