//! The commands `query-broker` and `query-broker serve`: run a broker.

use crate::configuration::{Configuration, ConfigurationError};
use broker::event_loop::{self, ListenAddresses};
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::{Level, error};

/// Runs a broker until a signal (SIGTERM or SIGINT) shuts it down.
pub(crate) fn run(operator_file: Option<PathBuf>) -> ExitCode {
    run_with(|| Configuration::load(operator_file), |_| ())
}

/// Runs a broker with the configuration that `load` returns, and calls `started` with the addresses
/// for clients once the broker listens on them.
///
/// The signal handlers are installed before `load` is called, so that a SIGHUP during the loading
/// does not end the program: it is handled once the broker runs. A SIGHUP that arrives before the
/// handlers are installed ends the program, which is the default effect of the signal.
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

/// Logs an error that prevents the program from starting, and returns the exit code for it.
pub(crate) fn startup_failed(error: &dyn std::error::Error) -> ExitCode {
    error!(name: "startup_failed", error = %error);
    ExitCode::FAILURE
}

/// Logs an error in the configuration, and returns the exit code for it.
fn configuration_invalid(error: &ConfigurationError) -> ExitCode {
    let error = error.to_string();
    error!(name: "configuration_invalid", error);
    ExitCode::FAILURE
}
