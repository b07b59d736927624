//! Parsing of arguments into typed values.

use broker_types::time::whole_micros;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::time::Duration;
use thiserror::Error;

/// Error of an argument that cannot be parsed. It describes the arguments that are valid; all
/// bounds are inclusive.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum InvalidValue {
    /// A socket address was expected.
    #[error("expected an address with a port, such as 127.0.0.1:8081 or [::1]:8081")]
    Address,
    /// A whole number within bounds was expected.
    #[error("expected a whole number from {min} to {max}")]
    WholeNumber {
        /// Minimum.
        min: u64,
        /// Maximum.
        max: u64,
    },
    /// A size with a unit, within bounds, was expected.
    #[error(
        "expected a size from {} to {} with its unit (B, KiB, MiB)",
        format_with_unit(*.min, SIZE_UNITS),
        format_with_unit(*.max, SIZE_UNITS)
    )]
    Size {
        /// Minimum, in bytes.
        min: u64,
        /// Maximum, in bytes.
        max: u64,
    },
    /// A duration with a unit, within bounds, was expected.
    #[error(
        "expected a time from {} to {} with its unit (us, ms, s, min)",
        format_with_unit(whole_micros(*.min), DURATION_UNITS),
        format_with_unit(whole_micros(*.max), DURATION_UNITS)
    )]
    Duration {
        /// Minimum.
        min: Duration,
        /// Maximum.
        max: Duration,
    },
    /// One of several fixed names was expected.
    #[error("expected one of {}", .names.join(", "))]
    Choice {
        /// The allowed names.
        names: Vec<&'static str>,
    },
}

/// A unit of measurement, as a multiple of the smallest unit of the same quantity.
struct Unit {
    name: &'static str,
    factor: u64,
}

/// Units of a size, in ascending order. Factors are in bytes.
const SIZE_UNITS: &[Unit] = &[unit("B", 1), unit("KiB", 1 << 10), unit("MiB", 1 << 20)];

/// Units of a duration, in ascending order. Factors are in microseconds.
const DURATION_UNITS: &[Unit] = &[
    unit("us", 1),
    unit("ms", 1000),
    unit("s", 1_000_000),
    unit("min", 60_000_000),
];

const fn unit(name: &'static str, factor: u64) -> Unit {
    Unit { name, factor }
}

/// An allowed name and the value that it stands for.
pub(crate) struct Choice<T> {
    name: &'static str,
    value: T,
}

/// Creates a [`Choice`]. A shorthand for tables of choices.
pub(crate) const fn choice<T: Copy>(name: &'static str, value: T) -> Choice<T> {
    Choice { name, value }
}

/// Parses a socket address.
pub(crate) fn parse_address(argument: &str) -> Result<SocketAddr, InvalidValue> {
    argument.parse().map_err(|_| InvalidValue::Address)
}

/// Parses a whole number that consists of decimal digits only.
pub(crate) fn parse_whole_number(
    argument: &str,
    bounds: &RangeInclusive<u64>,
) -> Result<u64, InvalidValue> {
    let invalid = InvalidValue::WholeNumber {
        min: *bounds.start(),
        max: *bounds.end(),
    };
    if !argument.bytes().all(|b| b.is_ascii_digit()) {
        return Err(invalid);
    }
    match argument.parse() {
        Ok(number) if bounds.contains(&number) => Ok(number),
        _ => Err(invalid),
    }
}

/// Parses a size with its unit. Returns it in bytes.
pub(crate) fn parse_size(
    argument: &str,
    bounds: &RangeInclusive<u64>,
) -> Result<u64, InvalidValue> {
    parse_with_unit(argument, SIZE_UNITS)
        .filter(|size| bounds.contains(size))
        .ok_or_else(|| InvalidValue::Size {
            min: *bounds.start(),
            max: *bounds.end(),
        })
}

/// Parses a duration with its unit.
pub(crate) fn parse_duration(
    argument: &str,
    bounds: &RangeInclusive<Duration>,
) -> Result<Duration, InvalidValue> {
    parse_with_unit(argument, DURATION_UNITS)
        .map(Duration::from_micros)
        .filter(|duration| bounds.contains(duration))
        .ok_or_else(|| InvalidValue::Duration {
            min: *bounds.start(),
            max: *bounds.end(),
        })
}

/// Parses one of the names in `choices` and returns its value.
pub(crate) fn parse_choice<T: Copy>(
    argument: &str,
    choices: &[Choice<T>],
) -> Result<T, InvalidValue> {
    match choices.iter().find(|choice| choice.name == argument) {
        Some(choice) => Ok(choice.value),
        None => Err(InvalidValue::Choice {
            names: choices.iter().map(|choice| choice.name).collect(),
        }),
    }
}

/// Parses decimal digits followed by one of `units`. Returns the quantity in the smallest unit, or
/// `None` if the argument has another form or the quantity exceeds 64 bits.
fn parse_with_unit(argument: &str, units: &[Unit]) -> Option<u64> {
    let digits = argument.bytes().take_while(u8::is_ascii_digit).count();
    let (number, unit_name) = argument.split_at(digits);
    let unit = units.iter().find(|unit| unit.name == unit_name)?;
    let number: u64 = number.parse().ok()?;
    number.checked_mul(unit.factor)
}

/// Formats a value, given in the smallest unit, in the largest unit in which it is a whole number.
fn format_with_unit(value: u64, units: &[Unit]) -> String {
    let fits = |unit: &&Unit| value >= unit.factor && value.is_multiple_of(unit.factor);
    let unit = units.iter().rev().find(fits).unwrap_or(&units[0]);
    format!("{}{}", value / unit.factor, unit.name)
}

#[cfg(test)]
mod tests;
