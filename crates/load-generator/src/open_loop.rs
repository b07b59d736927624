//! Open-loop load: queries are sent at a given rate that does not depend on how fast they are
//! answered.

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

/// Time after the end of the load during which outcomes of queries are still counted. Queries that
/// end later, or not at all, are neither served nor unserved in the report.
const ANSWER_GRACE: Duration = Duration::from_secs(5);

/// Destination of the load.
#[derive(Clone, Copy, Debug)]
pub enum Target {
    /// A broker over HTTP/1.1.
    Http1 {
        /// Address of the broker.
        address: SocketAddr,
        /// Number of connections that are opened at the start. More are opened if all of them are
        /// in use.
        connections: usize,
    },
    /// A broker over HTTP/2.
    Http2 {
        /// Address of the broker.
        address: SocketAddr,
        /// Number of connections, which are used in rotation.
        connections: usize,
    },
    /// A data server at this address, over the protocol that brokers use with data servers. It
    /// gives a baseline without a broker. The connection carries one query at a time: a query that
    /// is sent while another is in flight fails and counts as unserved.
    Direct(SocketAddr),
}

/// Rate, duration and queries of a load.
#[derive(Clone, Debug)]
pub struct LoadProfile {
    /// Mean number of queries per second. With `None`, a query is sent whenever fewer than
    /// [`LoadProfile::max_concurrent`] are in flight.
    pub rate: Option<f64>,
    /// Maximum number of queries in flight. A query that is due while this many are in flight waits
    /// until one of them ends; its latency includes the wait.
    pub max_concurrent: usize,
    /// Time during which queries are sent, including the warm-up.
    pub duration: Duration,
    /// Time at the start of the load. Queries that are due within it are not counted.
    pub warm_up: Duration,
    /// Seed of the arrival times and request ids.
    pub seed: u64,
    /// Class of each query.
    pub class: String,
    /// Shards of each query.
    pub shards: Vec<usize>,
}

/// Result of a load.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// Latency of served queries, in microseconds, from the time at which they were due.
    pub latency: Histogram<u64>,
    /// Number of queries that were answered, without those of the warm-up.
    pub served: u64,
    /// Number of queries that ended without an answer, without those of the warm-up.
    pub unserved: u64,
    /// Duration of the load without the warm-up.
    pub measured_duration: Duration,
}

/// Sends a load on the calling thread and waits for the outcomes of its queries.
///
/// # Errors
///
/// Returns an error if a connection cannot be established at the start.
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
        // Without a rate, a query is due when its slot is free, so that its latency does not include
        // the wait for the slot.
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

/// Limit on the number of queries in flight. Each query acquires a slot before it is sent and
/// releases the slot when it ends.
#[derive(Clone)]
struct QuerySlots {
    /// Contains one message for each free slot.
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

    /// Waits for a free slot and takes it.
    async fn acquire(&self) {
        let slot = self.free.recv().await;
        slot.expect("the channel of free slots should be open, because `self` owns a sender");
    }

    fn release(&self) {
        let _ = self.released.try_send(());
    }

    /// Takes `count` slots as they become free. Gives up if one of them does not become free within
    /// [`ANSWER_GRACE`] after the one before it. The wait may therefore be longer than
    /// [`ANSWER_GRACE`] in total, but the recorder ignores outcomes after that time.
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
