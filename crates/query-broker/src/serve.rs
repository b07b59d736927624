//! `query-broker` and `query-broker serve`.

use crate::configuration::{Configuration, ConfigurationError};
use broker::turns;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::{Level, error};

/// Serves until a signal ends the program.
pub(crate) fn run(operator_file: Option<PathBuf>) -> ExitCode {
    run_with(|| Configuration::load(operator_file), |_, _| ())
}

/// Serves by a configuration that is loaded once signals are caught: a SIGHUP before that would end the program.
/// `started` is called with the addresses for HTTP/1.1 and HTTP/2.
pub(crate) fn run_with(
    load: impl FnOnce() -> Result<Configuration, ConfigurationError>,
    started: impl FnOnce(SocketAddr, Option<SocketAddr>),
) -> ExitCode {
    logging::init(logging::Format::Logfmt, Level::INFO);
    let signals = match turns::signals() {
        Ok(signals) => signals,
        Err(error) => return startup_failed(&error),
    };
    let configuration = match load() {
        Ok(configuration) => configuration,
        Err(error) => return configuration_invalid(&error),
    };
    let Configuration { platform, operator } = configuration;
    match turns::run(platform, operator, signals, started) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => startup_failed(&error),
    }
}

/// Logs that the program cannot start.
pub(crate) fn startup_failed(error: &io::Error) -> ExitCode {
    error!(name: "startup_failed", error = %error);
    ExitCode::FAILURE
}

/// Logs that the configuration cannot be used.
fn configuration_invalid(error: &ConfigurationError) -> ExitCode {
    let error = error.to_string();
    error!(name: "configuration_invalid", error);
    ExitCode::FAILURE
}
