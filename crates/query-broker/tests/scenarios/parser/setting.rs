//! Parses settings.

use super::problem::Problem;
use super::word::number;
use crate::script::{Setting, SettingOverride};

/// Parses a setting; `None` where the line is not one.
pub(super) fn parse_setting(words: &[&str]) -> Result<Option<Setting>, Problem> {
    Ok(Some(match words {
        ["servers", count] => Setting::Servers(number(count)?),
        ["max-open", count] => Setting::MaxOpen(number(count)?),
        ["max-sockets", count] => Setting::MaxSockets(number(count)?),
        ["set", pointer, value] => Setting::Override(SettingOverride {
            pointer: (*pointer).to_owned(),
            value: value
                .parse()
                .map_err(|_| Problem::malformed("a JSON value", value))?,
        }),
        _ => return Ok(None),
    }))
}
