//! Measures how bad clients affect usual ones on other connections.

use super::WARM_UP_SHARE;
use super::broker_build::{BrokerBuild, Pacing, http2_address};
use super::error::BenchError;
use hdrhistogram::Histogram;
use load_generator::{
    BadClients, BadClientsPlan, BadConnections, BadRequest, LoadProfile, Target, open_loop,
};
use std::time::Duration;
use test_fleet::FleetPlan;

/// Number of bad clients. Their connections are less than a third of the broker's descriptors.
const BAD_CLIENTS: usize = 300;

/// Number of connections of bad clients over HTTP/2.
const BAD_HTTP2_CONNECTIONS: usize = 4;

/// Rate at which usual clients send queries, per second.
const USUAL_QUERIES_PER_SECOND: f64 = 100.0;

/// Maximum number of queries that usual clients have in flight.
const USUAL_CONCURRENCY: usize = 100;

/// Number of connections of usual clients at the start. More are opened as they are needed.
const USUAL_CONNECTIONS: usize = 2;

/// Seed of the random arrival times of usual queries.
const SEED: u64 = 10;

/// Time that a data server takes for a part.
const PART_DURATION: Duration = Duration::from_millis(30);

/// What the bad clients of a measurement do; `None` for no bad clients.
pub(super) type BadClientKind = Option<(BadRequest, BadConnections)>;

/// The figures of a measurement.
pub(super) struct BadClientFigures {
    pub(super) kind: BadClientKind,
    /// Latency of usual queries, in microseconds.
    pub(super) latency: Histogram<u64>,
    /// Number of usual queries that were served.
    pub(super) served: u64,
    /// Number of usual queries that were not served.
    pub(super) unserved: u64,
    /// Number of responses to bad clients, those in the warm-up included.
    pub(super) bad_responses: u64,
}

/// Returns the kinds of bad clients over HTTP/1.1, after the measurement without any.
pub(super) fn http1_kinds() -> Vec<BadClientKind> {
    vec![
        None,
        Some((BadRequest::RepeatedShard, BadConnections::Http1Kept)),
        Some((BadRequest::ErrorAtEnd, BadConnections::Http1Kept)),
        Some((BadRequest::ErrorAtEnd, BadConnections::Http1New)),
        Some((BadRequest::PaddedQuery, BadConnections::Http1Kept)),
        Some((BadRequest::HeadByteByByte, BadConnections::Http1New)),
    ]
}

/// Returns the kinds of bad clients over HTTP/2.
pub(super) fn http2_kinds() -> Vec<BadClientKind> {
    let connections = BadConnections::Http2 {
        connections: BAD_HTTP2_CONNECTIONS,
    };
    vec![
        Some((BadRequest::ErrorAtEnd, connections)),
        Some((BadRequest::PaddedQuery, connections)),
    ]
}

/// Returns the name of a kind in the printed figures.
pub(super) fn kind_name(kind: BadClientKind) -> String {
    let Some((request, connections)) = kind else {
        return "none".to_owned();
    };
    let connections = match connections {
        BadConnections::Http1Kept => "kept connections",
        BadConnections::Http1New => "new connections",
        BadConnections::Http2 { .. } => "HTTP/2",
    };
    format!("{}, {connections}", request.name())
}

/// Measures the latency of usual queries over HTTP/1.1 beside bad clients of one kind.
///
/// # Errors
///
/// The processes or the bad clients cannot be started, or a usual client cannot connect.
pub(super) fn measure(
    build: &BrokerBuild,
    kind: BadClientKind,
    duration: Duration,
) -> Result<BadClientFigures, BenchError> {
    let plan = FleetPlan {
        part_duration: PART_DURATION,
        ..FleetPlan::default()
    };
    let testbed = build.start(plan, Pacing::Ticks)?;
    let address = testbed.broker.http1;
    let bad_clients = match kind {
        None => None,
        Some((request, connections)) => {
            let address = match connections {
                BadConnections::Http2 { .. } => http2_address(&testbed.broker)?,
                BadConnections::Http1Kept | BadConnections::Http1New => address,
            };
            let plan = BadClientsPlan {
                request,
                connections,
                clients: BAD_CLIENTS,
            };
            Some(BadClients::start(address, plan)?)
        }
    };
    let target = Target::Http1 {
        address,
        connections: USUAL_CONNECTIONS,
    };
    let load = LoadProfile {
        rate: Some(USUAL_QUERIES_PER_SECOND),
        max_concurrent: USUAL_CONCURRENCY,
        duration,
        warm_up: duration.mul_f64(WARM_UP_SHARE),
        seed: SEED,
        class: "lookup".to_owned(),
        shards: vec![0, 1],
    };
    let report = open_loop(target, &load)?;
    Ok(BadClientFigures {
        kind,
        latency: report.latency,
        served: report.served,
        unserved: report.unserved,
        bad_responses: bad_clients.map_or(0, |clients| clients.responses()),
    })
}
