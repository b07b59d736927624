//! Parses scripts: every line is a typed step before the first one runs.

mod problem;
mod servers;
mod setting;
mod step;
mod word;

pub(crate) use problem::Problem;

use crate::script::{Script, ScriptStep, Settings};
use servers::check_servers;
use setting::parse_setting;
use std::path::Path;
use step::parse_step;
use thiserror::Error;

/// A line that is no step, and why.
#[derive(Debug, Error, PartialEq)]
#[error("{file}:{line}: {problem}")]
pub(crate) struct ScriptError {
    pub(crate) file: String,
    pub(crate) line: usize,
    pub(crate) problem: Problem,
}

/// Reads and parses a script's file.
pub(crate) fn load_script(path: &Path) -> Result<Script, ScriptError> {
    let text = std::fs::read_to_string(path).expect("a script can be read");
    parse_script(&path.display().to_string(), &text)
}

/// Parses a script's text; the file's name is for messages.
pub(crate) fn parse_script(file: &str, text: &str) -> Result<Script, ScriptError> {
    let mut script = Script {
        file: file.to_owned(),
        settings: Settings::default(),
        steps: Vec::new(),
    };
    for (line, text) in (1..).zip(text.lines()) {
        parse_line(&mut script, line, text).map_err(|problem| ScriptError {
            file: file.to_owned(),
            line,
            problem,
        })?;
    }
    Ok(script)
}

/// Adds the setting or the step of a line, if it has one.
fn parse_line(script: &mut Script, line: usize, text: &str) -> Result<(), Problem> {
    let words: Vec<&str> = uncommented(text).split_whitespace().collect();
    if words.is_empty() {
        return Ok(());
    }
    if let Some(setting) = parse_setting(&words)? {
        if !script.steps.is_empty() {
            return Err(Problem::SettingAfterStep);
        }
        script.settings.apply(setting);
        return Ok(());
    }
    let step = parse_step(&words, text)?;
    check_servers(&step, script.settings.servers)?;
    script.steps.push(ScriptStep {
        line,
        text: text.to_owned(),
        step,
    });
    Ok(())
}

/// The part of a line before a comment.
fn uncommented(line: &str) -> &str {
    line.split_once('#').map_or(line, |(step, _)| step)
}
