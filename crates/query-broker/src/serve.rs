//! `query-broker` and `query-broker serve`.

use crate::configuration::{Configuration, ConfigurationError};
use broker::event_loop::{self, ListenAddresses};
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::{Level, error};

/// Serves until a signal ends the program.
pub(crate) fn run(operator_file: Option<PathBuf>) -> ExitCode {
    run_with(|| Configuration::load(operator_file), |_| ())
}

/// Serves by a configuration that is loaded once signals are caught: a SIGHUP before that would end
/// the program. `started` is called with the addresses for clients once the broker listens.
pub(crate) fn run_with(
    load: impl FnOnce() -> Result<Configuration, ConfigurationError>,
    started: impl FnOnce(ListenAddresses),
) -> ExitCode {
    logging::init(logging::Format::Logfmt, Level::INFO);
    let signals = match event_loop::catch_signals() {
        Ok(signals) => signals,
        Err(error) => return startup_failed(&error),
    };
    let configuration = match load() {
        Ok(configuration) => configuration,
        Err(error) => return configuration_invalid(&error),
    };
    let Configuration { platform, operator } = configuration;
    match event_loop::run(platform, operator, signals, started) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => startup_failed(&error),
    }
}

/// Logs that the program cannot start.
pub(crate) fn startup_failed(error: &dyn std::error::Error) -> ExitCode {
    error!(name: "startup_failed", error = %error);
    ExitCode::FAILURE
}

/// Logs that the configuration cannot be used.
fn configuration_invalid(error: &ConfigurationError) -> ExitCode {
    let error = error.to_string();
    error!(name: "configuration_invalid", error);
    ExitCode::FAILURE
}
