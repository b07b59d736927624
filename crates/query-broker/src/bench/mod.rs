//! The command `query-broker bench`: measures latency, throughput, processor time and memory of the
//! HTTP/1.1 and HTTP/2 listeners in one run, against a fleet of test doubles on loopback.

mod bad_clients;
mod broker_build;
mod error;
mod flood;
mod load;
mod measurements;
mod memory;
mod report;

use crate::cli::BenchArguments;
use broker_build::{BrokerBuild, Listeners};
use error::BenchError;
use indicatif::{ProgressBar, ProgressStyle};
use report::Results;
use std::io::{self, Write};
use std::process::ExitCode;
use std::time::Duration;

/// Duration of the warm-up as a share of a measurement's duration. The warm-up is left out of the
/// figures. It precedes a measurement of load, and is the first part of a measurement of a flood.
const WARM_UP_SHARE: f64 = 0.2;

/// Runs all measurements, prints their figures and returns the exit code of the program.
pub(crate) fn run(arguments: &BenchArguments) -> ExitCode {
    match measure_and_print(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            let _ = writeln!(io::stderr(), "the benchmark failed: {error}");
            ExitCode::FAILURE
        }
    }
}

impl BenchArguments {
    /// Returns the listeners of the build that is measured.
    fn listeners(&self) -> Listeners {
        if self.http1_only {
            Listeners::Http1Only
        } else {
            Listeners::Http1AndHttp2
        }
    }
}

/// Runs all measurements, and prints their figures as a table or as JSON.
fn measure_and_print(arguments: &BenchArguments) -> Result<(), BenchError> {
    let executable = arguments
        .exe
        .clone()
        .map_or_else(std::env::current_exe, Ok)?;
    let build = BrokerBuild {
        executable,
        listeners: arguments.listeners(),
    };
    let results = measure_all(&build, arguments.duration)?;
    let text = if arguments.json {
        results.to_json().to_string() + "\n"
    } else {
        results.to_table()
    };
    io::stdout().write_all(text.as_bytes())?;
    Ok(())
}

/// Runs all measurements that suit the build, one after another. `duration` is the length of each
/// measurement of load, of a flood or with bad clients, without the start of the processes. It
/// includes the warm-up, except that of a load.
fn measure_all(build: &BrokerBuild, duration: Duration) -> Result<Results, BenchError> {
    let loads = measurements::load_measurements(build.listeners);
    let memory = measurements::memory_measurements(build.listeners);
    let floods = measurements::flood_kinds(build.listeners);
    let bad_clients = measurements::bad_client_kinds(build.listeners);
    let count = loads.len() + memory.len() + floods.len() + bad_clients.len();
    let progress = progress_bar(count)?;
    let mut results = Results::default();
    for measurement in loads {
        progress.set_message(measurement.route.name());
        results
            .loads
            .push(load::measure(build, measurement, duration)?);
        progress.inc(1);
    }
    for measurement in memory {
        progress.set_message(format!("memory of {} requests", measurement.requests));
        results.memory.push(memory::measure(build, measurement)?);
        progress.inc(1);
    }
    for &kind in floods {
        progress.set_message(format!("flood: {}", kind.name()));
        results.floods.push(flood::measure(build, kind, duration)?);
        progress.inc(1);
    }
    for kind in bad_clients {
        progress.set_message(format!("bad clients: {}", bad_clients::kind_name(kind)));
        let figures = bad_clients::measure(build, kind, duration)?;
        results.bad_clients.push(figures);
        progress.inc(1);
    }
    progress.finish_and_clear();
    Ok(results)
}

/// Creates a progress bar on standard error for this number of measurements.
fn progress_bar(measurements: usize) -> Result<ProgressBar, BenchError> {
    let bar = ProgressBar::new(measurements as u64);
    let style = ProgressStyle::with_template("{pos}/{len} {wide_bar} {msg} {eta}")
        .map_err(io::Error::other)?;
    bar.set_style(style);
    Ok(bar)
}
