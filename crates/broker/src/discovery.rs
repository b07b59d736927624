//! The list of data servers: begins with what the configuration knows, then watches discovery.

use crate::clock::with_timeout;
use crate::event_queue::{Event, EventQueue};
use crate::net::read_some;
use async_executor::{LocalExecutor, Task};
use async_io::{Async, Timer};
use broker_types::server::EndpointList;
use fastrand::Rng;
use futures_lite::AsyncWriteExt;
use http::Response;
use http1_codec::{Limits, Message, Progress, ResponseDecoder};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::warn;

/// How long a watch may wait for a change. What discovery has counts as told after 6 s, whether a watch fell silent or
/// not: noticing that (with [`GRACE`]), a back-off, a dial in vain and another back-off have to stay well inside.
const WAIT: Duration = Duration::from_secs(2);
/// How long a dial may take, and how much longer than its wait the answer to a watch.
const GRACE: Duration = Duration::from_secs(1);
/// How long the whole list may take, which is answered at once but may be long.
const WHOLE: Duration = Duration::from_secs(2);
/// The longest answer: a list of many thousand servers.
const LIMITS: Limits = Limits {
    head_bytes: 16 * 1024,
    body_bytes: 4 << 20,
};
/// First and longest wait after a failure, of which up to half is left to chance. The first is well under the
/// 200 ms that a watch may pause; the longest is short, since what an agent is told while we sleep counts as told.
const BACK_OFF: (Duration, Duration) = (Duration::from_millis(20), Duration::from_millis(250));

/// The one watch of the list, and so the owner of its connection.
pub struct Discovery {
    executor: Rc<LocalExecutor<'static>>,
    event_queue: Rc<EventQueue>,
    chance: Rng,
    /// Dropping it ends the watch and closes its connection.
    _watch: Task<()>,
}

impl Discovery {
    /// Watches at this address, from this version on.
    pub fn start(
        executor: Rc<LocalExecutor<'static>>,
        event_queue: Rc<EventQueue>,
        address: SocketAddr,
        rev: u64,
        seed: u64,
    ) -> Self {
        let mut chance = Rng::with_seed(seed);
        let _watch = executor.spawn(watch(
            address,
            Some(rev),
            event_queue.clone(),
            chance.fork(),
        ));
        Discovery {
            executor,
            event_queue,
            chance,
            _watch,
        }
    }

    /// Watches at another address. Its versions need not be those of the last one, and what changed meanwhile
    /// is known to nobody: it is asked for the whole list first.
    pub fn move_to(&mut self, address: SocketAddr) {
        self._watch = self.executor.spawn(watch(
            address,
            None,
            self.event_queue.clone(),
            self.chance.fork(),
        ));
    }
}

/// Watches for ever. A list that cannot be had or read leaves the last one in force.
async fn watch(
    discovery: SocketAddr,
    mut rev: Option<u64>,
    event_queue: Rc<EventQueue>,
    mut chance: Rng,
) {
    let mut back_off = BACK_OFF.0;
    loop {
        let error = match session(discovery, &mut rev, &mut back_off, &event_queue).await {
            Ok(()) => continue, // closed between two answers, as a server may
            Err(error) => error,
        };
        warn!(name: "discovery_watch_failed", error = %error);
        // Those whom one failure met must not come back in step.
        Timer::after(back_off.mul_f64(1.0 - chance.f64() / 2.0)).await;
        back_off = (back_off * 2).min(BACK_OFF.1);
    }
}

/// Watches over one connection until that ends.
async fn session(
    discovery: SocketAddr,
    rev: &mut Option<u64>,
    back_off: &mut Duration,
    event_queue: &EventQueue,
) -> io::Result<()> {
    let mut stream = with_timeout(GRACE, Async::<TcpStream>::connect(discovery)).await?;
    stream.get_ref().set_nodelay(true)?;
    let mut input = Vec::new();
    let mut decoder = ResponseDecoder::new(LIMITS);
    loop {
        let called = Instant::now();
        let (query, time) = match rev {
            Some(rev) => (
                format!("?index={rev}&wait={}", WAIT.as_millis()),
                WAIT + GRACE,
            ),
            None => (String::new(), WHOLE),
        };
        let call = format!("GET /api/targets{query} HTTP/1.1\r\nHost: {discovery}\r\n\r\n");
        stream.write_all(call.as_bytes()).await?;
        let message = with_timeout(time, answer(&stream, &mut decoder, &mut input)).await?;
        if message.value.status() != 200 {
            // It may not know our version, as after a loss of its own data: the whole list comes next.
            *rev = None;
            return Err(io::Error::other(format!(
                "status {}",
                message.value.status()
            )));
        }
        let targets: EndpointList =
            serde_json::from_slice(message.value.body()).map_err(io::Error::other)?;
        if let Some(why) = misfit(&targets, *rev) {
            // It answers something else, as one that lost its data or lags behind: the whole list tells.
            *rev = None;
            return Err(io::Error::other(why));
        }
        let news = rev.replace(targets.revision) != Some(targets.revision);
        *back_off = BACK_OFF.0;
        if targets.is_snapshot || !targets.endpoints.is_empty() {
            event_queue.push(Event::EndpointsUpdated(targets));
        }
        if !news && called.elapsed() < WAIT / 2 {
            // Nothing new before its time: asked again at once, such a server would cost the whole core.
            Timer::after(BACK_OFF.0).await;
        }
        if !message.keep_alive {
            return Ok(());
        }
    }
}

/// Why these targets are no answer to a watch from this version on, or to a call for the whole list.
fn misfit(targets: &EndpointList, rev: Option<u64>) -> Option<&'static str> {
    match rev {
        Some(rev) if targets.revision < rev => Some("a list older than the one in force"),
        None if !targets.is_snapshot => Some("changes in place of the whole list"),
        _ => None,
    }
}

async fn answer(
    stream: &Async<TcpStream>,
    decoder: &mut ResponseDecoder,
    input: &mut Vec<u8>,
) -> io::Result<Message<Response<Vec<u8>>>> {
    loop {
        match decoder.decode(input).map_err(io::Error::other)? {
            Progress::Complete(message) => return Ok(message),
            Progress::Incomplete { .. } => {
                if read_some(stream, input).await? == 0 {
                    // A reset is an error of its own, so that this is the end that some answers go by.
                    return decoder
                        .finish()
                        .ok_or_else(|| io::ErrorKind::UnexpectedEof.into());
                }
            }
        }
    }
}
