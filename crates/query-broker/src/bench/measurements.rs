//! The list of measurements of the benchmark, with the route, rate and size of each.

use super::bad_clients::{BadClientKind, http1_kinds, http2_kinds};
use super::broker_build::{Listeners, Pacing};
use super::flood::FloodKind;

/// Rate of queries per second of a single client, which is far below the broker's capacity.
const SINGLE_CLIENT_QUERIES_PER_SECOND: f64 = 50.0;

/// Rate of queries per second under a steady load.
const STEADY_QUERIES_PER_SECOND: f64 = 4000.0;

/// Maximum number of queries in flight under a steady load.
const STEADY_CONCURRENCY: usize = 256;

/// The route of queries to the data servers, and the number of client connections.
#[derive(Clone, Copy, Debug)]
pub(super) enum Route {
    /// From the client to a data server, without a broker.
    Direct,
    /// To the broker over HTTP/1.1.
    Http1 { connections: usize },
    /// To the broker over HTTP/2.
    Http2 { connections: usize },
}

impl Route {
    /// Returns the name of the route in the printed figures.
    pub(super) fn name(self) -> String {
        match self {
            Route::Direct => "no broker".to_owned(),
            Route::Http1 { connections } => format!("HTTP/1.1, {connections} connections"),
            Route::Http2 { connections } => format!("HTTP/2, {connections} connections"),
        }
    }
}

/// A measurement of latency, throughput and processor time.
#[derive(Clone, Copy, Debug)]
pub(super) struct LoadMeasurement {
    /// The route of queries to the data servers.
    pub(super) route: Route,
    /// What determines the time between two iterations of the broker's event loop.
    pub(super) pacing: Pacing,
    /// Rate at which queries are sent, per second; `None` for a closed loop, in which each query is
    /// sent as soon as an earlier one has ended.
    pub(super) rate: Option<f64>,
    /// Maximum number of queries in flight.
    pub(super) max_concurrent: usize,
}

/// The HTTP version that clients use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum HttpVersion {
    /// HTTP/1.1.
    Http1,
    /// HTTP/2 by prior knowledge.
    Http2,
}

/// A measurement of the memory that the broker uses for requests whose bodies have not arrived.
#[derive(Clone, Copy, Debug)]
pub(super) struct MemoryMeasurement {
    /// The HTTP version that clients use.
    pub(super) version: HttpVersion,
    /// Number of concurrent requests. Over HTTP/1.1 each takes a connection, so that this must not
    /// exceed the number of connection slots.
    pub(super) requests: usize,
}

/// Returns all measurements of load that a build with these listeners supports. A build without
/// HTTP/2 has no batch window either, and is measured with ticks only.
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

/// Returns all measurements of load with this pacing.
fn load_measurements_with(pacing: Pacing) -> Vec<LoadMeasurement> {
    let http1 = |connections| Route::Http1 { connections };
    let http2 = |connections| Route::Http2 { connections };
    let single = Some(SINGLE_CLIENT_QUERIES_PER_SECOND);
    let steady = Some(STEADY_QUERIES_PER_SECOND);
    [
        // One query at a time: the difference to the route without a broker is the latency that the
        // broker adds.
        (Route::Direct, single, 1),
        (http1(1), single, 1),
        (http2(1), single, 1),
        // A steady load.
        (http1(256), steady, STEADY_CONCURRENCY),
        (http2(4), steady, STEADY_CONCURRENCY),
        // Closed loop: the maximum throughput at this concurrency.
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

/// Returns all measurements of memory that a build with these listeners supports.
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

/// Returns all floods to which a build with these listeners is exposed. All of them are HTTP/2
/// floods.
pub(super) fn flood_kinds(listeners: Listeners) -> &'static [FloodKind] {
    match listeners {
        Listeners::Http1AndHttp2 => &FloodKind::ALL,
        Listeners::Http1Only => &[],
    }
}

/// Returns all kinds of bad clients to which a build with these listeners is exposed.
pub(super) fn bad_client_kinds(listeners: Listeners) -> Vec<BadClientKind> {
    let mut kinds = http1_kinds();
    if listeners == Listeners::Http1AndHttp2 {
        kinds.extend(http2_kinds());
    }
    kinds
}
