//! Open-loop load: queries are sent at a given rate, however fast they are answered.

mod arrivals;
mod recorder;
mod transport;

use crate::query::LoadQuery;
use arrivals::Arrivals;
use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use hdrhistogram::Histogram;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use recorder::Recorder;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use transport::Transport;

/// How long after the end of the load an answer still counts.
const ANSWER_GRACE: Duration = Duration::from_secs(5);

/// Where the load is sent.
#[derive(Clone, Copy, Debug)]
pub enum Target {
    /// To a broker over HTTP/1.1.
    Http1 {
        /// The broker's address.
        address: SocketAddr,
        /// Number of connections that are opened at the start.
        connections: usize,
    },
    /// To a broker over HTTP/2.
    Http2 {
        /// The broker's address.
        address: SocketAddr,
        /// Number of connections, which are used in rotation.
        connections: usize,
    },
    /// To a data server in its own protocol, as a baseline without a broker.
    Direct(SocketAddr),
}

/// What load is sent.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// Queries a second; `None` sends a query as soon as fewer than [`LoadProfile::max_concurrent`]
    /// are in flight.
    pub rate: Option<f64>,
    /// Largest number of queries in flight. A query that is due while so many are in flight waits,
    /// and its latency includes that wait.
    pub max_concurrent: usize,
    /// How long queries are sent.
    pub duration: Duration,
    /// Time at the start whose queries are not counted.
    pub warm_up: Duration,
    /// Seed of the arrival times and request ids.
    pub seed: u64,
    /// The class of each query.
    pub class: String,
    /// The shards of each query.
    pub shards: Vec<usize>,
}

/// The result of a load.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Latency of served queries from when they were due, in microseconds.
    pub latency: Histogram<u64>,
    /// Queries that were answered, without those of the warm-up.
    pub served: u64,
    /// Queries that were not answered, without those of the warm-up.
    pub unserved: u64,
    /// The duration of the load without the warm-up.
    pub measured_duration: Duration,
}

/// Sends a load to its end, on this thread.
///
/// # Errors
///
/// If a connection cannot be made at the start.
pub fn open_loop(target: Target, profile: &LoadProfile) -> io::Result<LoadReport> {
    let executor = Rc::new(LocalExecutor::new());
    async_io::block_on(executor.run(run(target, profile, executor.clone())))
}

async fn run(
    target: Target,
    profile: &LoadProfile,
    executor: Rc<LocalExecutor<'static>>,
) -> io::Result<LoadReport> {
    let transport = Rc::new(Transport::open(target, &executor).await?);
    let mut random = Pcg64Mcg::seed_from_u64(profile.seed);
    let slots = QuerySlots::new(profile.max_concurrent);
    let start = Instant::now();
    let end = start + profile.duration;
    let recorder = Rc::new(Recorder::new(profile, start)?);
    let id_prefix: u32 = random.next_u32();
    let mut arrivals = Arrivals::new(profile.rate, start, random);
    for number in 0u64.. {
        let mut due = arrivals.next_due();
        if due >= end {
            break;
        }
        if due > Instant::now() {
            Timer::at(due).await;
        }
        slots.acquire().await;
        if profile.rate.is_none() {
            due = Instant::now();
        }
        let id = format!("{id_prefix:08x}{number:08x}");
        let query = LoadQuery::new(id, &profile.class, &profile.shards);
        let (transport, recorder, slots) = (transport.clone(), recorder.clone(), slots.clone());
        let send = async move {
            let outcome = transport.send_query(&query).await;
            recorder.record(due, &outcome);
            slots.release();
        };
        executor.spawn(send).detach();
    }
    slots.wait_until_free(profile.max_concurrent).await;
    Ok(recorder.report())
}

/// Limits the queries in flight: each acquires a slot and releases it.
#[derive(Clone)]
struct QuerySlots {
    /// Holds a message for each free slot.
    free: Receiver<()>,
    released: Sender<()>,
}

impl QuerySlots {
    fn new(count: usize) -> Self {
        let (released, free) = async_channel::bounded(count);
        let slots = QuerySlots { free, released };
        for _ in 0..count {
            slots.release();
        }
        slots
    }

    async fn acquire(&self) {
        let slot = self.free.recv().await;
        slot.expect("the channel is open: this value holds a sender");
    }

    fn release(&self) {
        let _ = self.released.try_send(());
    }

    /// Waits until this number of slots is free, for each of them no longer than [`ANSWER_GRACE`].
    async fn wait_until_free(&self, count: usize) {
        for _ in 0..count {
            let acquired = async {
                self.acquire().await;
                true
            };
            let timeout = async {
                Timer::after(ANSWER_GRACE).await;
                false
            };
            if !acquired.or(timeout).await {
                return;
            }
        }
    }
}
