//! Parses the settings at the start of a script.

use super::arguments::number;
use super::line_error::LineError;
use crate::script::{Setting, SettingOverride};

/// Parses a setting. Returns `None` if the line is not a setting.
pub(super) fn parse_setting(words: &[&str]) -> Result<Option<Setting>, LineError> {
    Ok(Some(match words {
        ["servers", count] => Setting::Servers(number(count)?),
        ["max-in-flight", count] => Setting::MaxInFlight(number(count)?),
        ["max-sockets", count] => Setting::MaxSockets(number(count)?),
        ["set", pointer, value] => Setting::Override(SettingOverride {
            pointer: (*pointer).to_owned(),
            value: value
                .parse()
                .map_err(|_| LineError::malformed("a JSON value", value))?,
        }),
        _ => return Ok(None),
    }))
}
