//! `query-broker bench`: what both listeners cost, side by side in one run, against a fleet on
//! loopback.

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

/// Duration of the warm-up before a measurement, as a share of the measurement's duration.
const WARM_UP_SHARE: f64 = 0.2;

/// Runs all measurements and prints them.
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
    fn listeners(&self) -> Listeners {
        if self.http1_only {
            Listeners::Http1Only
        } else {
            Listeners::Http1AndHttp2
        }
    }
}

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

/// Runs the measurements one after another, each of which takes about this long.
fn measure_all(build: &BrokerBuild, duration: Duration) -> Result<Results, BenchError> {
    let loads = measurements::load_measurements(build.listeners);
    let memory = measurements::memory_measurements(build.listeners);
    let floods = measurements::flood_kinds(build.listeners);
    let progress = progress_bar(loads.len() + memory.len() + floods.len())?;
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
    progress.finish_and_clear();
    Ok(results)
}

fn progress_bar(steps: usize) -> Result<ProgressBar, BenchError> {
    let bar = ProgressBar::new(steps as u64);
    let style = ProgressStyle::with_template("{pos}/{len} {wide_bar} {msg} {eta}")
        .map_err(io::Error::other)?;
    bar.set_style(style);
    Ok(bar)
}
