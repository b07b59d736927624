//! Measures latency, throughput and processor time under load.

use super::WARM_UP_SHARE;
use super::broker_build::{BrokerBuild, Testbed, http2_address};
use super::error::BenchError;
use super::measurements::{LoadMeasurement, Route};
use hdrhistogram::Histogram;
use load_generator::{LoadProfile, LoadReport, Target, open_loop};
use std::time::Duration;
use test_fleet::{BrokerProcess, Fleet, FleetPlan, ReceivedCounts};

/// Minimum processor time from which the time per query is computed. The system counts processor time
/// in hundredths of a second, so that a shorter time would be too inexact.
const MIN_CPU_TIME: Duration = Duration::from_millis(200);

/// Seed of the random arrival times of the queries in the warm-up.
const WARM_UP_SEED: u64 = 7;

/// Seed of the random arrival times of the queries that are measured.
const SEED: u64 = 8;

/// The figures of a measurement under load.
pub(super) struct LoadFigures {
    /// The measurement that the figures belong to.
    pub(super) measurement: LoadMeasurement,
    /// Throughput: number of queries served per second.
    pub(super) served_per_second: f64,
    /// The broker's processor time for each query, in microseconds; `None` if the total is less than
    /// [`MIN_CPU_TIME`].
    pub(super) cpu_us_per_query: Option<f64>,
    /// Latency of the queries, in microseconds.
    pub(super) latency: Histogram<u64>,
    /// Number of queries that were not served.
    pub(super) unserved: u64,
    /// Mean number of parts in a call to a data server.
    pub(super) parts_per_call: f64,
}

/// Runs a measurement with a newly started broker and fleet, so that no state is left from the
/// measurement before.
///
/// # Errors
///
/// The processes cannot be started, a client cannot connect, or the broker's processor time cannot be
/// read.
pub(super) fn measure(
    build: &BrokerBuild,
    measurement: LoadMeasurement,
    duration: Duration,
) -> Result<LoadFigures, BenchError> {
    let plan = FleetPlan {
        part_duration: Duration::ZERO,
        ..FleetPlan::default()
    };
    let Testbed { fleet, broker } = build.start(plan, measurement.pacing)?;
    let target = target(measurement.route, &fleet, &broker)?;
    let warm_up = load_profile(measurement, duration.mul_f64(WARM_UP_SHARE), WARM_UP_SEED);
    open_loop(target, &warm_up)?;
    let cpu_before = broker.cpu_time()?;
    let received_before = fleet.received_counts();
    let report = open_loop(target, &load_profile(measurement, duration, SEED))?;
    let cpu_time = broker.cpu_time()? - cpu_before;
    Ok(LoadFigures {
        measurement,
        served_per_second: report.served as f64 / report.measured_duration.as_secs_f64(),
        cpu_us_per_query: cpu_us_per_query(cpu_time, &report),
        parts_per_call: parts_per_call(received_before, fleet.received_counts()),
        latency: report.latency,
        unserved: report.unserved,
    })
}

/// Returns the address and the connections to which the load is sent.
fn target(route: Route, fleet: &Fleet, broker: &BrokerProcess) -> Result<Target, BenchError> {
    Ok(match route {
        Route::Direct => Target::Direct(fleet.servers()[0].address),
        Route::Http1 { connections } => Target::Http1 {
            address: broker.http1,
            connections,
        },
        Route::Http2 { connections } => Target::Http2 {
            address: http2_address(broker)?,
            connections,
        },
    })
}

/// Returns the load of a measurement. Its warm-up is zero because the warm-up is a load of its own:
/// the broker's processor time and the received counts are read between the two.
fn load_profile(measurement: LoadMeasurement, duration: Duration, seed: u64) -> LoadProfile {
    LoadProfile {
        rate: measurement.rate,
        max_concurrent: measurement.max_concurrent,
        duration,
        warm_up: Duration::ZERO,
        seed,
        class: "lookup".to_owned(),
        shards: vec![0, 1],
    }
}

/// Returns the processor time for each query in microseconds, or `None` if the total is less than
/// [`MIN_CPU_TIME`].
fn cpu_us_per_query(cpu_time: Duration, report: &LoadReport) -> Option<f64> {
    let queries = (report.served + report.unserved).max(1) as f64;
    (cpu_time >= MIN_CPU_TIME).then(|| cpu_time.as_secs_f64() * 1e6 / queries)
}

/// Returns the mean number of parts in a call that the data servers received between two counts.
fn parts_per_call(before: ReceivedCounts, after: ReceivedCounts) -> f64 {
    let calls = (after.calls - before.calls).max(1);
    (after.parts - before.parts) as f64 / calls as f64
}
