//! The command line of the program: sub-commands, options and their help texts.

use clap::{Args, Parser, Subcommand};
use clap_complete::Shell;
use std::net::SocketAddr;
use std::ops::RangeInclusive;
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;

/// The description of the program in `query-broker -h`.
const ABOUT: &str = "A query broker: accepts queries over HTTP, sends calls to the data servers that hold the parts \
    of each query, and responds with the combined answer";

/// The description of the program in `query-broker --help`.
const LONG_ABOUT: &str = "A query broker: accepts queries over HTTP, sends calls to the data servers that hold the \
    parts of each query, and responds with the combined answer.\n\n\
    Without a sub-command it runs a broker that is configured only by the platform's JSON file. The environment \
    variable RELAY_CONFIG holds the path of that file; RELAY_NAME, RELAY_LISTEN and RELAY_DISCOVERY override its name, \
    listen address and discovery address. SIGHUP reloads the configuration. SIGTERM and Ctrl-C shut the broker down \
    gracefully.";

/// The command line.
#[derive(Debug, Parser)]
#[command(name = "query-broker", version, max_term_width = 100, about = ABOUT, long_about = LONG_ABOUT)]
pub(crate) struct Cli {
    // Without a sub-command, the program runs a broker without an operator's file.
    #[command(subcommand)]
    pub(crate) command: Option<Command>,
}

#[derive(Debug, Subcommand)]
pub(crate) enum Command {
    /// Run a broker, with an operator's file in addition to the platform's configuration
    Serve(ServeArguments),
    /// Check an operator's file: exits with 0 if the file is valid, otherwise prints all its errors
    /// and exits with 1
    Check(CheckArguments),
    /// Run a broker with test doubles of data servers on this machine until Ctrl-C
    Demo(DemoArguments),
    /// Measure latency, throughput, processor time and memory of the HTTP/1.1 and HTTP/2 listeners,
    /// against test doubles of data servers on this machine
    Bench(BenchArguments),
    /// Print the completion script for a shell
    Completions {
        /// The shell that the script is for
        shell: Shell,
    },
}

#[derive(Args, Debug)]
pub(crate) struct ServeArguments {
    /// Path of the operator's file; without it, only the platform's configuration applies
    #[arg(long, value_name = "FILE")]
    pub(crate) config: Option<PathBuf>,
}

#[derive(Args, Debug)]
pub(crate) struct CheckArguments {
    /// Path of the operator's file to check
    #[arg(value_name = "FILE", required_unless_present = "keywords")]
    pub(crate) file: Option<PathBuf>,
    /// Print the result as JSON
    #[arg(long)]
    pub(crate) json: bool,
    /// Print all keywords of operator's files, and when a change of each takes effect
    #[arg(long, conflicts_with = "file")]
    pub(crate) keywords: bool,
}

#[derive(Args, Debug)]
pub(crate) struct DemoArguments {
    /// Address of the HTTP/1.1 listener
    #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:8080")]
    pub(crate) listen: SocketAddr,
    /// Address of the HTTP/2 listener
    #[arg(long, value_name = "ADDR", default_value = "127.0.0.1:8081")]
    pub(crate) http2: SocketAddr,
    /// Number of test doubles of data servers, 1 to 64
    #[arg(long, value_name = "N", default_value_t = 4, value_parser = clap::value_parser!(u16).range(1..=64))]
    pub(crate) servers: u16,
}

#[derive(Args, Debug)]
pub(crate) struct BenchArguments {
    /// Duration of each measurement of load, of a flood or with bad clients, in seconds, 0.5 to 600
    #[arg(long = "seconds", value_name = "S", default_value = "5", value_parser = parse_measurement_duration)]
    pub(crate) duration: Duration,
    /// Print the figures as JSON
    #[arg(long)]
    pub(crate) json: bool,
    /// Executable of another build of the broker, to measure instead of this one
    #[arg(long, value_name = "FILE")]
    pub(crate) exe: Option<PathBuf>,
    /// Measure HTTP/1.1 only, for a build without an HTTP/2 listener
    #[arg(long)]
    pub(crate) http1_only: bool,
}

/// The range of the option `bench --seconds`.
const MEASUREMENT_SECONDS: RangeInclusive<f64> = 0.5..=600.0;

/// The value of `bench --seconds` is not a number, or is outside [`MEASUREMENT_SECONDS`].
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
#[error("expected seconds, {} to {}", MEASUREMENT_SECONDS.start(), MEASUREMENT_SECONDS.end())]
struct InvalidMeasurementDuration;

/// Parses the duration of a measurement, which is a number of seconds without a unit.
///
/// # Errors
///
/// The text is not a number, or the number is outside [`MEASUREMENT_SECONDS`].
fn parse_measurement_duration(text: &str) -> Result<Duration, InvalidMeasurementDuration> {
    let seconds: f64 = text.parse().map_err(|_| InvalidMeasurementDuration)?;
    if MEASUREMENT_SECONDS.contains(&seconds) {
        Ok(Duration::from_secs_f64(seconds))
    } else {
        Err(InvalidMeasurementDuration)
    }
}

#[cfg(test)]
mod tests;
