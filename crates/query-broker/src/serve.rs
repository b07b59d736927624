//! `query-broker` and `query-broker serve`.

use broker::event_loop::{self, ListenAddresses};
use broker::operator::OperatorConfig;
use platform_config::Config;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::{Level, error};

/// Serves until the program is told to end.
pub(crate) fn run(file: Option<PathBuf>) -> ExitCode {
    let read = || {
        let operator = OperatorConfig::load(file).map_err(|error| error.to_string())?;
        operator.apply_log_settings();
        Ok((
            platform_config::load(platform_config::environment)
                .map_err(|error| error.to_string())?,
            operator,
        ))
    };
    run_with(read, |_| ())
}

/// Serves what is read here, once signals are caught: a SIGHUP that came before would end the program.
pub(crate) fn run_with(
    read: impl FnOnce() -> Result<(Config, OperatorConfig), String>,
    started: impl FnOnce(ListenAddresses),
) -> ExitCode {
    logging::init(logging::Format::Logfmt, Level::INFO);
    let signals = match event_loop::catch_signals() {
        Ok(signals) => signals,
        Err(error) => return cannot_start(&error),
    };
    let (config, operator) = match read() {
        Ok(both) => both,
        Err(error) => {
            error!(name: "bad_config", error);
            return ExitCode::FAILURE;
        }
    };
    match event_loop::run(config, operator, signals, started) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => cannot_start(&error),
    }
}

pub(crate) fn cannot_start(error: &dyn std::error::Error) -> ExitCode {
    error!(name: "cannot_start", error = %error);
    ExitCode::FAILURE
}
