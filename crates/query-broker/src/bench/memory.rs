//! What an idle request costs in memory, over both listeners: its head has arrived, its body has
//! not.

use super::broker_build::{BrokerBuild, Pacing};
use super::error::BenchError;
use super::measurements::{HttpVersion, MemoryMeasurement};
use async_executor::LocalExecutor;
use load_generator::{Http1Client, Http2Client, Http2Stream, LoadQuery};
use std::io;
use std::net::SocketAddr;
use std::time::Duration;
use test_fleet::{BrokerProcess, FleetPlan};

/// Streams of an HTTP/2 connection.
const STREAMS_PER_CONNECTION: usize = 100;

/// Time for the broker to read what was sent. The broker abandons an incomplete request after 2 s.
const SETTLE_TIME: Duration = Duration::from_millis(700);

/// The broker's resident memory, in bytes.
pub(super) struct MemoryFigures {
    /// What was measured.
    pub(super) measurement: MemoryMeasurement,
    /// Without requests.
    pub(super) before: u64,
    /// With all requests waiting.
    pub(super) with_requests: u64,
}

impl MemoryFigures {
    /// Memory of a request, in KiB.
    pub(super) fn kib_per_request(&self) -> f64 {
        let bytes = self.with_requests.saturating_sub(self.before);
        bytes as f64 / self.measurement.requests as f64 / 1024.0
    }
}

/// Connections and streams that stay open while the memory is read.
#[derive(Default)]
struct WaitingRequests {
    http1: Vec<Http1Client>,
    http2: Vec<Http2Client>,
    streams: Vec<Http2Stream>,
}

impl WaitingRequests {
    /// Sends one more over a connection of its own.
    async fn add_http1(&mut self, broker: SocketAddr) -> io::Result<()> {
        let request = self.next_query().request();
        let mut client = Http1Client::connect(broker).await?;
        client.send_head(&request).await?;
        self.http1.push(client);
        Ok(())
    }

    /// Sends one more on a stream of its own.
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
        let client = self.http2.last().expect("the first stream connects");
        let stream = client.open_without_body(&request).await;
        self.streams.push(stream.map_err(io::Error::other)?);
        Ok(())
    }

    fn next_query(&self) -> LoadQuery {
        let number = self.http1.len() + self.streams.len();
        LoadQuery::new(format!("memory{number}"), "lookup", &[number % 8])
    }
}

/// Measures with a broker of its own.
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
    let before = broker.resident_memory()?;
    let with_requests = memory_with_requests(broker, measurement, &executor);
    let with_requests = async_io::block_on(executor.run(with_requests))?;
    Ok(MemoryFigures {
        measurement,
        before,
        with_requests,
    })
}

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
