//! What is measured: routes, rates and sizes.

use super::broker_build::{Listeners, Pacing};
use super::flood::FloodKind;

/// Queries a second of a single client, far below the capacity.
const SINGLE_CLIENT_QUERIES_PER_SECOND: f64 = 50.0;

/// Queries a second under a steady load.
const STEADY_QUERIES_PER_SECOND: f64 = 4000.0;

/// Largest number of queries in flight under a steady load.
const STEADY_CONCURRENCY: usize = 256;

/// How queries reach the data servers, and over how many client connections.
#[derive(Clone, Copy, Debug)]
pub(super) enum Route {
    /// Without a broker, to a data server.
    Direct,
    /// Over HTTP/1.1.
    Http1 { connections: usize },
    /// Over HTTP/2.
    Http2 { connections: usize },
}

impl Route {
    /// The name in the figures.
    pub(super) fn name(self) -> String {
        match self {
            Route::Direct => "no broker".to_owned(),
            Route::Http1 { connections } => format!("HTTP/1.1, {connections} connections"),
            Route::Http2 { connections } => format!("HTTP/2, {connections} connections"),
        }
    }
}

/// A measurement of latency, rate and processor time.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadMeasurement {
    /// How queries travel.
    pub(super) route: Route,
    /// How the broker's iterations are paced.
    pub(super) pacing: Pacing,
    /// Queries a second; `None` sends a query as soon as another one has ended.
    pub(super) rate: Option<f64>,
    /// Largest number of queries in flight.
    pub(super) max_concurrent: usize,
}

/// Version of HTTP that clients speak.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HttpVersion {
    /// HTTP/1.1.
    Http1,
    /// HTTP/2 by prior knowledge.
    Http2,
}

/// A measurement of the memory of requests that wait for their bodies.
#[derive(Clone, Copy, Debug)]
pub(super) struct MemoryMeasurement {
    /// What clients speak.
    pub(super) version: HttpVersion,
    /// Number of concurrent requests; over HTTP/1.1 at most the number of connection slots.
    pub(super) requests: usize,
}

/// All measurements of load that a build with these listeners can take part in. One without HTTP/2
/// has no batch window either.
pub(super) fn load_measurements(listeners: Listeners) -> Vec<LoadMeasurement> {
    match listeners {
        Listeners::Http1AndHttp2 => [Pacing::Ticks, Pacing::BatchWindow]
            .into_iter()
            .flat_map(load_measurements_with)
            .collect(),
        Listeners::Http1Only => load_measurements_with(Pacing::Ticks)
            .into_iter()
            .filter(|measurement| !matches!(measurement.route, Route::Http2 { .. }))
            .collect(),
    }
}

fn load_measurements_with(pacing: Pacing) -> Vec<LoadMeasurement> {
    let http1 = |connections| Route::Http1 { connections };
    let http2 = |connections| Route::Http2 { connections };
    let single = Some(SINGLE_CLIENT_QUERIES_PER_SECOND);
    let steady = Some(STEADY_QUERIES_PER_SECOND);
    [
        // One after another: what the broker adds by itself.
        (Route::Direct, single, 1),
        (http1(1), single, 1),
        (http2(1), single, 1),
        (http1(256), steady, STEADY_CONCURRENCY),
        (http2(4), steady, STEADY_CONCURRENCY),
        // As many as are answered.
        (http1(16), None, 16),
        (http2(1), None, 16),
        (http1(100), None, 100),
        (http2(1), None, 100),
        (http1(400), None, 400),
        (http2(4), None, 400),
    ]
    .into_iter()
    .map(|(route, rate, max_concurrent)| LoadMeasurement {
        route,
        pacing,
        rate,
        max_concurrent,
    })
    .collect()
}

/// All measurements of memory that a build with these listeners can take part in.
pub(super) fn memory_measurements(listeners: Listeners) -> Vec<MemoryMeasurement> {
    let mut measurements = [
        (HttpVersion::Http1, 250),
        (HttpVersion::Http1, 500),
        (HttpVersion::Http2, 250),
        (HttpVersion::Http2, 500),
        (HttpVersion::Http2, 1000),
    ]
    .map(|(version, requests)| MemoryMeasurement { version, requests })
    .to_vec();
    if listeners == Listeners::Http1Only {
        measurements.retain(|measurement| measurement.version == HttpVersion::Http1);
    }
    measurements
}

/// All floods that a build with these listeners can be exposed to.
pub(super) fn flood_kinds(listeners: Listeners) -> &'static [FloodKind] {
    match listeners {
        Listeners::Http1AndHttp2 => &FloodKind::ALL,
        Listeners::Http1Only => &[],
    }
}
