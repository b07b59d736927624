//! Measures how a flood of frames on one HTTP/2 connection affects clients on other connections.

use super::WARM_UP_SHARE;
use super::broker_build::{BrokerBuild, Pacing, http2_address};
use super::error::BenchError;
use hdrhistogram::Histogram;
use load_generator::raw_http2::{
    PING, RST_STREAM, RawHttp2Client, SETTINGS, encode_frame, query_frames,
};
use load_generator::{LoadProfile, Target, open_loop};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};
use test_fleet::FleetPlan;

/// Rate at which regular clients send queries, per second.
const CLIENT_QUERIES_PER_SECOND: f64 = 500.0;

/// Maximum number of queries that regular clients have in flight.
const CLIENT_CONCURRENCY: usize = 100;

/// Number of connections of regular clients.
const CLIENT_CONNECTIONS: usize = 2;

/// Seed of the random arrival times of the queries of regular clients.
const SEED: u64 = 9;

/// Time that a data server takes for a part.
const PART_DURATION: Duration = Duration::from_millis(2);

/// Number of units (see [`FloodKind::unit`]) that the attacker sends in one write.
const BURST_LENGTH: u32 = 64;

/// The error code CANCEL (RFC 9113, section 7).
const CANCEL: u32 = 8;

/// The kind of frames that the attacker sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FloodKind {
    /// No flood: the figures of regular clients for comparison.
    None,
    /// PING frames.
    Ping,
    /// SETTINGS frames.
    Settings,
    /// Queries, each followed by a `RST_STREAM` frame that cancels it.
    RapidReset,
}

impl FloodKind {
    /// All kinds, in the order in which they are measured.
    pub(super) const ALL: [FloodKind; 4] = [
        FloodKind::None,
        FloodKind::Ping,
        FloodKind::Settings,
        FloodKind::RapidReset,
    ];

    /// Returns the name of the flood in the printed figures.
    pub(super) fn name(self) -> &'static str {
        match self {
            FloodKind::None => "none",
            FloodKind::Ping => "PING",
            FloodKind::Settings => "SETTINGS",
            FloodKind::RapidReset => "rapid resets",
        }
    }

    /// Returns the bytes of one unit of the flood: a frame, or a query with the frame that resets
    /// it. `number` counts the units on the connection from 0, and determines the stream.
    fn unit(self, number: u32) -> Vec<u8> {
        match self {
            FloodKind::None => Vec::new(),
            FloodKind::Ping => encode_frame(PING, 0, 0, &[0; 8]),
            FloodKind::Settings => encode_frame(SETTINGS, 0, 0, &[]),
            FloodKind::RapidReset => {
                let stream = 1 + 2 * number;
                let query = query_frames(stream, &format!("flood{number}"));
                let reset = encode_frame(RST_STREAM, 0, stream, &CANCEL.to_be_bytes());
                [query, reset].concat()
            }
        }
    }
}

/// Figures of the attacker's connections.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AttackFigures {
    /// Number of connections that the broker closed.
    pub(super) closed_connections: u32,
    /// Duration of the longest of these connections, from the connect to the failed write.
    pub(super) longest_connection: Duration,
}

/// The figures of a measurement with a flood.
pub(super) struct FloodFigures {
    /// The kind of flood.
    pub(super) kind: FloodKind,
    /// Latency of regular clients, in microseconds.
    pub(super) latency: Histogram<u64>,
    /// Queries of regular clients that were not served.
    pub(super) unserved: u64,
    /// Figures of the attacker's connections.
    pub(super) attack: AttackFigures,
}

/// Measures the latency of regular clients while an attacker floods the broker over one connection
/// at a time, and reconnects as soon as the broker has closed it.
///
/// # Errors
///
/// The processes cannot be started, a client cannot connect, or the attacker's thread panicked.
pub(super) fn measure(
    build: &BrokerBuild,
    kind: FloodKind,
    duration: Duration,
) -> Result<FloodFigures, BenchError> {
    let plan = FleetPlan {
        part_duration: PART_DURATION,
        ..FleetPlan::default()
    };
    let testbed = build.start(plan, Pacing::BatchWindow)?;
    let address = http2_address(&testbed.broker)?;
    let stop = Arc::new(AtomicBool::new(false));
    let attacker = start_attacker(kind, address, stop.clone());
    let target = Target::Http2 {
        address,
        connections: CLIENT_CONNECTIONS,
    };
    let load = LoadProfile {
        rate: Some(CLIENT_QUERIES_PER_SECOND),
        max_concurrent: CLIENT_CONCURRENCY,
        duration,
        warm_up: duration.mul_f64(WARM_UP_SHARE),
        seed: SEED,
        class: "lookup".to_owned(),
        shards: vec![0, 1],
    };
    let report = open_loop(target, &load);
    stop.store(true, Ordering::Relaxed);
    let attack = attacker.join().map_err(|_| BenchError::AttackerPanicked)?;
    let report = report?;
    Ok(FloodFigures {
        kind,
        latency: report.latency,
        unserved: report.unserved,
        attack,
    })
}

/// Starts a thread that floods the broker until `stop` is set, and returns its figures.
fn start_attacker(
    kind: FloodKind,
    broker: SocketAddr,
    stop: Arc<AtomicBool>,
) -> JoinHandle<AttackFigures> {
    std::thread::spawn(move || match kind {
        FloodKind::None => AttackFigures::default(),
        _ => attack(kind, broker, &stop),
    })
}

/// Floods one connection after another until `stop` is set.
fn attack(kind: FloodKind, broker: SocketAddr, stop: &AtomicBool) -> AttackFigures {
    let mut figures = AttackFigures::default();
    while !stop.load(Ordering::Relaxed) {
        let start = Instant::now();
        match flood_connection(kind, broker, stop) {
            FloodEnd::Stopped => break,
            FloodEnd::ConnectionClosed => {
                figures.closed_connections += 1;
                figures.longest_connection = figures.longest_connection.max(start.elapsed());
            }
        }
    }
    figures
}

/// Why the flood of a connection ended.
enum FloodEnd {
    /// The broker closed the connection.
    ConnectionClosed,
    /// `stop` was set.
    Stopped,
}

/// Floods one connection until the broker closes it or `stop` is set.
fn flood_connection(kind: FloodKind, broker: SocketAddr, stop: &AtomicBool) -> FloodEnd {
    let mut client = RawHttp2Client::connect_with_preface(broker);
    let mut sent = 0;
    loop {
        let burst: Vec<u8> = (sent..sent + BURST_LENGTH)
            .flat_map(|number| kind.unit(number))
            .collect();
        sent += BURST_LENGTH;
        if client.try_send(&burst).is_err() {
            return FloodEnd::ConnectionClosed;
        }
        if stop.load(Ordering::Relaxed) {
            return FloodEnd::Stopped;
        }
    }
}
