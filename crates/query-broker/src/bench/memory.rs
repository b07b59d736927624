//! Measures the memory that the broker uses for an incomplete request, whose head has arrived and
//! whose body has not. Each measurement uses either the HTTP/1.1 or the HTTP/2 listener.

use super::broker_build::{BrokerBuild, Pacing};
use super::error::BenchError;
use super::measurements::{HttpVersion, MemoryMeasurement};
use async_executor::LocalExecutor;
use load_generator::{Http1Client, Http2Client, Http2Stream, LoadQuery};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use test_fleet::{BrokerProcess, FleetPlan};

/// Number of streams, each with one request, on an HTTP/2 connection.
const STREAMS_PER_CONNECTION: usize = 100;

/// Time between the last request and the reading of the memory, in which the broker reads the
/// requests. It must be well below 2 s, after which the broker abandons an incomplete request.
const SETTLE_TIME: Duration = Duration::from_millis(700);

/// The figures of a measurement of memory.
pub(super) struct MemoryFigures {
    /// The measurement that the figures belong to.
    pub(super) measurement: MemoryMeasurement,
    /// The broker's resident memory before the requests, in bytes.
    pub(super) bytes_before: u64,
    /// The broker's resident memory with all requests waiting for their bodies, in bytes.
    pub(super) bytes_with_requests: u64,
}

impl MemoryFigures {
    /// Returns the mean memory of a request, in KiB.
    pub(super) fn kib_per_request(&self) -> f64 {
        let bytes = self.bytes_with_requests.saturating_sub(self.bytes_before);
        bytes as f64 / self.measurement.requests as f64 / 1024.0
    }
}

/// Requests that wait for their bodies, with the connections and streams that keep them open while
/// the memory is read.
#[derive(Default)]
struct WaitingRequests {
    http1: Vec<Http1Client>,
    http2: Vec<Http2Client>,
    streams: Vec<Http2Stream>,
}

impl WaitingRequests {
    /// Sends the head of another request over a new HTTP/1.1 connection.
    async fn add_http1(&mut self, broker: SocketAddr) -> io::Result<()> {
        let request = self.next_query().request();
        let mut client = Http1Client::connect(broker).await?;
        client.send_head(&request).await?;
        self.http1.push(client);
        Ok(())
    }

    /// Sends the head of another request on a new HTTP/2 stream, and opens a new connection if the
    /// last one has [`STREAMS_PER_CONNECTION`] streams.
    async fn add_http2(
        &mut self,
        broker: SocketAddr,
        executor: &LocalExecutor<'static>,
    ) -> io::Result<()> {
        let request = self.next_query().request();
        if self.streams.len().is_multiple_of(STREAMS_PER_CONNECTION) {
            self.http2
                .push(Http2Client::connect(broker, executor).await?);
        }
        let client = self
            .http2
            .last()
            .expect("a connection should be open, because the first stream opens one");
        let stream = client.open_without_body(&request).await;
        self.streams.push(stream.map_err(io::Error::other)?);
        Ok(())
    }

    /// Returns a query with a new id.
    fn next_query(&self) -> LoadQuery {
        let number = self.http1.len() + self.streams.len();
        LoadQuery::new(format!("memory{number}"), "lookup", &[number % 8])
    }
}

/// Runs a measurement with a newly started broker and fleet.
///
/// # Errors
///
/// The processes cannot be started, a client cannot connect, or the broker's memory cannot be read.
pub(super) fn measure(
    build: &BrokerBuild,
    measurement: MemoryMeasurement,
) -> Result<MemoryFigures, BenchError> {
    let plan = FleetPlan {
        part_duration: Duration::ZERO,
        ..FleetPlan::default()
    };
    let testbed = build.start(plan, Pacing::Ticks)?;
    let broker = &testbed.broker;
    let executor = LocalExecutor::new();
    let bytes_before = broker.resident_memory()?;
    let with_requests = memory_with_requests(broker, measurement, &executor);
    let bytes_with_requests = async_io::block_on(executor.run(with_requests))?;
    Ok(MemoryFigures {
        measurement,
        bytes_before,
        bytes_with_requests,
    })
}

/// Sends the heads of all requests, and returns the broker's resident memory in bytes while it waits
/// for their bodies.
async fn memory_with_requests(
    broker: &BrokerProcess,
    measurement: MemoryMeasurement,
    executor: &LocalExecutor<'static>,
) -> Result<u64, BenchError> {
    let mut requests = WaitingRequests::default();
    for _ in 0..measurement.requests {
        match (measurement.version, broker.http2) {
            (HttpVersion::Http2, Some(address)) => requests.add_http2(address, executor).await?,
            (HttpVersion::Http2, None) => return Err(BenchError::NoHttp2Listener),
            (HttpVersion::Http1, _) => requests.add_http1(broker.http1).await?,
        }
    }
    async_io::Timer::after(SETTLE_TIME).await;
    Ok(broker.resident_memory()?)
}
