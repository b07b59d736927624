//! Effect of a flood on one connection on the clients of others.

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

/// Queries a second that regular clients send.
const CLIENT_QUERIES_PER_SECOND: f64 = 500.0;

/// Largest number of queries in flight of regular clients.
const CLIENT_CONCURRENCY: usize = 100;

/// Number of connections of regular clients.
const CLIENT_CONNECTIONS: usize = 2;

/// Seed of the arrivals of regular clients.
const SEED: u64 = 9;

/// How long a data server takes for a part.
const PART_DURATION: Duration = Duration::from_millis(2);

/// Frames, or pairs of them, that the attacker sends in one write.
const BURST_LENGTH: u32 = 64;

/// The error code CANCEL (RFC 9113, section 7).
const CANCEL: u32 = 8;

/// What the attacker sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum FloodKind {
    /// Nothing, for comparison.
    None,
    /// PING frames.
    Ping,
    /// SETTINGS frames.
    Settings,
    /// Queries, each of which is reset at once.
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

    /// The name in the figures.
    pub(super) fn name(self) -> &'static str {
        match self {
            FloodKind::None => "none",
            FloodKind::Ping => "PING",
            FloodKind::Settings => "SETTINGS",
            FloodKind::RapidReset => "rapid resets",
        }
    }

    /// The attacker's next bytes, by their number on the connection.
    fn bytes(self, number: u32) -> Vec<u8> {
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

/// What the attacker saw of its connections.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct AttackFigures {
    /// Connections that the broker ended.
    pub(super) ended: u32,
    /// The longest that one of them lasted.
    pub(super) longest: Duration,
}

/// Effect of a flood on regular clients and on the attacker.
pub(super) struct FloodFigures {
    /// The flood.
    pub(super) kind: FloodKind,
    /// Latency of regular clients, in microseconds.
    pub(super) latency: Histogram<u64>,
    /// Queries of regular clients that were not served.
    pub(super) unserved: u64,
    /// The attacker's connections.
    pub(super) attack: AttackFigures,
}

/// Measures the load of regular clients beside an attacker that reconnects as soon as its
/// connection is closed.
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

/// Attacks until it is stopped.
fn attack(kind: FloodKind, broker: SocketAddr, stop: &AtomicBool) -> AttackFigures {
    let mut figures = AttackFigures::default();
    while !stop.load(Ordering::Relaxed) {
        let start = Instant::now();
        match flood_connection(kind, broker, stop) {
            FloodEnd::Stopped => break,
            FloodEnd::ConnectionEnded => {
                figures.ended += 1;
                figures.longest = figures.longest.max(start.elapsed());
            }
        }
    }
    figures
}

/// Why the flood of a connection ended.
enum FloodEnd {
    /// The broker ended the connection.
    ConnectionEnded,
    /// The attack was stopped.
    Stopped,
}

/// Floods one connection until the broker ends it or the attack is stopped.
fn flood_connection(kind: FloodKind, broker: SocketAddr, stop: &AtomicBool) -> FloodEnd {
    let mut client = RawHttp2Client::connect_with_preface(broker);
    let mut sent = 0;
    loop {
        let burst: Vec<u8> = (sent..sent + BURST_LENGTH)
            .flat_map(|number| kind.bytes(number))
            .collect();
        sent += BURST_LENGTH;
        if client.try_send(&burst).is_err() {
            return FloodEnd::ConnectionEnded;
        }
        if stop.load(Ordering::Relaxed) {
            return FloodEnd::Stopped;
        }
    }
}
