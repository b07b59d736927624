//! Parses scripts. A whole script is parsed into typed settings and steps before anything of it runs.

mod arguments;
mod line_error;
mod server_numbers;
mod setting;
mod step;

pub(crate) use line_error::LineError;

use crate::script::{Script, ScriptStep, Settings};
use server_numbers::check_server_numbers;
use setting::parse_setting;
use std::path::Path;
use step::parse_step;
use thiserror::Error;

/// An error in a script, with the file and the number of its line.
#[derive(Debug, Error, PartialEq)]
#[error("{file}:{line}: {cause}")]
pub(crate) struct ScriptError {
    /// Path of the script.
    pub(crate) file: String,
    /// Number of the line, from 1.
    pub(crate) line: usize,
    /// What is wrong with the line.
    pub(crate) cause: LineError,
}

/// Reads and parses the script at a path.
pub(crate) fn load_script(path: &Path) -> Result<Script, ScriptError> {
    let text = std::fs::read_to_string(path)
        .unwrap_or_else(|error| panic!("cannot read the script {}: {error}", path.display()));
    parse_script(&path.display().to_string(), &text)
}

/// Parses the text of a script. The file's name is for error messages.
///
/// # Errors
///
/// The first line that is invalid: it is neither a setting, a step, a comment nor empty, has a wrong
/// argument, is a setting after a step, or names a data server that the script does not have.
pub(crate) fn parse_script(file: &str, text: &str) -> Result<Script, ScriptError> {
    let mut script = Script {
        file: file.to_owned(),
        settings: Settings::default(),
        steps: Vec::new(),
    };
    for (line, text) in (1..).zip(text.lines()) {
        parse_line(&mut script, line, text).map_err(|cause| ScriptError {
            file: file.to_owned(),
            line,
            cause,
        })?;
    }
    Ok(script)
}

/// Parses a line, and adds its setting or step to the script. Empty lines and comments are skipped.
fn parse_line(script: &mut Script, line: usize, text: &str) -> Result<(), LineError> {
    let words: Vec<&str> = uncommented(text).split_whitespace().collect();
    if words.is_empty() {
        return Ok(());
    }
    if let Some(setting) = parse_setting(&words)? {
        if !script.steps.is_empty() {
            return Err(LineError::SettingAfterStep);
        }
        script.settings.apply(setting);
        return Ok(());
    }
    // The text after `raw` is taken from the whole line: it keeps its spaces, and `#` begins no comment
    // in it.
    let step = parse_step(&words, text)?;
    check_server_numbers(&step, script.settings.servers)?;
    script.steps.push(ScriptStep {
        line,
        text: text.to_owned(),
        step,
    });
    Ok(())
}

/// Returns the part of a line before its comment.
fn uncommented(line: &str) -> &str {
    line.split_once('#').map_or(line, |(step, _)| step)
}
