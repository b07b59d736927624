//! The command `query-broker check`: reports the errors in an operator's file, or lists the keywords
//! of such files.

use crate::cli::CheckArguments;
use broker::operator::{OperatorConfigError, read_text};
use miette::{GraphicalReportHandler, GraphicalTheme};
use operator_config::{ConfigFileError, ConfigFileErrors, Effect, KEYWORDS, parse};
use serde_json::{Value, json};
use std::io::{IsTerminal, Write};
use std::path::Path;
use std::process::ExitCode;

/// The result of checking an operator's file.
enum CheckResult {
    /// The file has no errors.
    Valid,
    /// The file cannot be read.
    Unreadable(OperatorConfigError),
    /// The file has been read and has errors.
    Invalid(ConfigFileErrors),
}

impl CheckResult {
    /// Reads and checks a file.
    fn of_file(file: &Path) -> Self {
        match read_text(file) {
            Err(error) => CheckResult::Unreadable(error),
            Ok(text) => match parse(&file.display().to_string(), &text) {
                // `parse` returns `Err` only with at least one error. An empty list would be
                // treated as a valid file here because the JSON report does so too: the exit
                // code and the report must agree.
                Err(errors) if !errors.errors.is_empty() => CheckResult::Invalid(errors),
                _ => CheckResult::Valid,
            },
        }
    }

    fn exit_code(&self) -> ExitCode {
        match self {
            CheckResult::Valid => ExitCode::SUCCESS,
            CheckResult::Unreadable(_) | CheckResult::Invalid(_) => ExitCode::FAILURE,
        }
    }
}

/// Checks a file and prints the result; without a file, prints the table of keywords. Returns the
/// exit code of the program.
pub(crate) fn run(arguments: &CheckArguments) -> ExitCode {
    let Some(file) = &arguments.file else {
        print(&keyword_table());
        return ExitCode::SUCCESS;
    };
    let result = CheckResult::of_file(file);
    if arguments.json {
        print(&(json_report(file, &result).to_string() + "\n"));
    } else {
        print_report(file, &result);
    }
    result.exit_code()
}

/// Prints to standard output. A write error is ignored: it can occur because the reader of a pipe has
/// closed the pipe, which does not change the result of the check.
fn print(text: &str) {
    let _ = std::io::stdout().write_all(text.as_bytes());
}

/// Prints to standard error. A write error is ignored, as in [`print()`].
fn print_error(text: &str) {
    let _ = std::io::stderr().write_all(text.as_bytes());
}

/// Prints the result for people: success to standard output, errors to standard error.
fn print_report(file: &Path, result: &CheckResult) {
    match result {
        CheckResult::Valid => print(&format!("{}: valid\n", file.display())),
        CheckResult::Unreadable(error) => print_error(&format!("{error}\n")),
        CheckResult::Invalid(errors) => print_error(&graphical_report(errors)),
    }
}

/// Returns the result as JSON. A file that cannot be read has a single error without a line.
fn json_report(file: &Path, result: &CheckResult) -> Value {
    let errors: Vec<Value> = match result {
        CheckResult::Valid => Vec::new(),
        CheckResult::Unreadable(error) => vec![json!({"what": error.to_string()})],
        CheckResult::Invalid(errors) => errors.errors.iter().map(json_error).collect(),
    };
    json!({"file": file.display().to_string(), "usable": errors.is_empty(), "faults": errors})
}

fn json_error(error: &ConfigFileError) -> Value {
    let expected = error.kind.expected().unwrap_or_default();
    json!({"line": error.line, "column": error.column, "what": error.kind.to_string(), "expected": expected})
}

/// Returns a text that shows every error with its line of the file, the word in question underlined,
/// and the number of errors. Line-drawing characters are used only if standard error is a terminal.
fn graphical_report(errors: &ConfigFileErrors) -> String {
    let theme = if std::io::stderr().is_terminal() {
        GraphicalTheme::unicode()
    } else {
        GraphicalTheme::none()
    };
    let handler = GraphicalReportHandler::new_themed(theme);
    let mut text = String::new();
    for error in &errors.errors {
        if handler.render_report(&mut text, error).is_err() {
            text += &format!("{error}\n");
        }
    }
    let count = match errors.errors.len() {
        1 => "1 error".to_owned(),
        count => format!("{count} errors"),
    };
    text + &count + "\n"
}

/// Returns a table of all keywords of an operator's file.
fn keyword_table() -> String {
    let mut text = keyword_row("keyword", "argument", "change takes effect", "description");
    for keyword in KEYWORDS {
        text += &keyword_row(
            keyword.name,
            keyword.argument,
            effect_name(keyword.effect),
            keyword.description,
        );
    }
    text
}

fn keyword_row(name: &str, argument: &str, effect: &str, description: &str) -> String {
    format!("{name:<24} {argument:<38} {effect:<20} {description}\n")
}

/// Returns the text in the table's column `change takes effect`.
fn effect_name(effect: Effect) -> &'static str {
    match effect {
        Effect::Immediate => "immediately",
        Effect::NewConnections => "for new connections",
        Effect::Restart => "at a restart",
    }
}
