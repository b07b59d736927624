//! Test double of discovery: serves the endpoint list over HTTP/1.1. A request with a watch waits
//! for the next change of the list.

use crate::notifier::{Notifier, Subscription};
use crate::wire::{
    EndpointListWire, EndpointStateWire, EndpointWire, LIST_PATH, REVISION_PARAMETER,
    WATCH_PARAMETER,
};
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::{AsyncReadExt, AsyncWriteExt, FutureExt};
use http::{Request, Response, StatusCode, Uri, Version};
use http1_codec::{Limits, Message, Progress, RequestDecoder, ResponseOptions, encode_response};
use serde_json::{Value, json};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Maximum size of a request.
const REQUEST_LIMITS: Limits = Limits {
    head_bytes: 16 * 1024,
    body_bytes: 64 * 1024,
};
/// Maximum number of bytes that one read returns.
const READ_CHUNK_BYTES: usize = 4096;
/// Maximum duration of a watch, in milliseconds. A request for a longer watch is answered after
/// this time.
const MAX_WATCH_MS: u64 = 60_000;

/// State of a data server in the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum EndpointState {
    Active,
    Draining,
}

impl From<EndpointState> for EndpointStateWire {
    fn from(state: EndpointState) -> Self {
        match state {
            EndpointState::Active => EndpointStateWire::Active,
            EndpointState::Draining => EndpointStateWire::Draining,
        }
    }
}

/// Data server in the endpoint list.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) cell: usize,
    pub(crate) state: EndpointState,
    /// Time at which the server was last restarted, in milliseconds since the Unix epoch; 0 if it
    /// never was.
    pub(crate) started_at_ms: u64,
}

impl From<&Endpoint> for EndpointWire {
    fn from(endpoint: &Endpoint) -> Self {
        EndpointWire {
            name: endpoint.name.clone(),
            address: endpoint.address.to_string(),
            zone: "z",
            model: "m",
            cell: endpoint.cell,
            state: endpoint.state.into(),
            capacity: 1.0,
            started_at_ms: endpoint.started_at_ms,
        }
    }
}

/// Test double of discovery.
pub(crate) struct Discovery {
    list: RefCell<PublishedList>,
    /// Notified when the list changes.
    changed: Notifier,
}

/// The endpoint list and its revision, which each change increments.
struct PublishedList {
    revision: u64,
    /// Endpoints by name.
    endpoints: BTreeMap<String, PublishedEndpoint>,
}

struct PublishedEndpoint {
    endpoint: Endpoint,
    /// Revision of the list in which this endpoint last changed.
    revision: u64,
}

/// Result of comparing the list with the revision that a client has.
struct WatchState {
    /// Whether the list has another revision than the client.
    is_outdated: bool,
    /// Notified at the first change of the list after the comparison.
    changed: Subscription,
}

impl Discovery {
    /// Creates a discovery service with an empty list of revision 1.
    pub(crate) fn new() -> Rc<Self> {
        let list = PublishedList {
            revision: 1,
            endpoints: BTreeMap::new(),
        };
        Rc::new(Discovery {
            list: RefCell::new(list),
            changed: Notifier::new(),
        })
    }

    /// Adds an endpoint to the list, or replaces the one with the same name, and notifies all
    /// watches.
    pub(crate) fn publish(&self, endpoint: Endpoint) {
        let mut list = self.list.borrow_mut();
        list.revision += 1;
        let revision = list.revision;
        let published = PublishedEndpoint { endpoint, revision };
        list.endpoints
            .insert(published.endpoint.name.clone(), published);
        self.changed.notify_all();
    }

    /// Returns the endpoints that changed after the revision `after`, in the format of discovery.
    /// Returns the complete list if `after` is `None` or has not been published yet.
    pub(crate) fn list(&self, after: Option<u64>) -> Value {
        let list = self.list.borrow();
        let after = after.filter(|revision| *revision <= list.revision);
        let is_included =
            |published: &&PublishedEndpoint| after.is_none_or(|after| published.revision > after);
        let endpoints = list.endpoints.values().filter(is_included);
        json!(EndpointListWire {
            revision: list.revision,
            is_snapshot: after.is_none(),
            endpoints: endpoints
                .map(|published| EndpointWire::from(&published.endpoint))
                .collect(),
        })
    }

    /// Accepts connections until the task is dropped.
    pub(crate) async fn accept_connections(
        self: Rc<Self>,
        listener: TcpListener,
        executor: Rc<LocalExecutor<'static>>,
    ) {
        let Ok(listener) = Async::new(listener) else {
            return;
        };
        while let Ok((stream, _)) = listener.accept().await {
            let discovery = self.clone();
            let connection = async move { _ = discovery.serve(&stream).await };
            executor.spawn(connection).detach();
        }
    }

    /// Answers the requests of one connection until either side closes it.
    async fn serve(&self, mut stream: &Async<TcpStream>) -> io::Result<()> {
        let mut decoder = RequestDecoder::new(REQUEST_LIMITS);
        let mut input = Vec::new();
        while let Some(message) = read_request(stream, &mut decoder, &mut input).await? {
            let response = self.respond(&message.value).await;
            let options = ResponseOptions {
                version: Version::HTTP_11,
                head_only: false,
                keep_alive: message.keep_alive,
            };
            stream
                .write_all(&encode_response(&response, options))
                .await?;
            if !message.keep_alive {
                break;
            }
        }
        Ok(())
    }

    /// Waits until the watch of a request has ended, and returns the response. A request without a
    /// watch is answered immediately. A path other than that of the endpoint list gets status 404.
    async fn respond(&self, request: &Request<Vec<u8>>) -> Response<Vec<u8>> {
        if request.uri().path() != LIST_PATH {
            let mut response = Response::new(Vec::new());
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        }
        let known_revision = numeric_parameter(request.uri(), REVISION_PARAMETER);
        let watch_ms = numeric_parameter(request.uri(), WATCH_PARAMETER)
            .unwrap_or(0)
            .min(MAX_WATCH_MS);
        self.watch(known_revision, Duration::from_millis(watch_ms))
            .await;
        Response::new(self.list(known_revision).to_string().into_bytes())
    }

    /// Waits until the list has another revision than `known_revision`, but no longer than
    /// `max_duration`. Returns immediately if `known_revision` is `None`.
    async fn watch(&self, known_revision: Option<u64>, max_duration: Duration) {
        let deadline = Instant::now() + max_duration;
        loop {
            let watch = self.watch_state(known_revision);
            if watch.is_outdated || Instant::now() >= deadline {
                return;
            }
            let timeout = async { _ = Timer::at(deadline).await };
            watch.changed.notified().or(timeout).await;
        }
    }

    /// Compares the list with the revision that a client has, and subscribes to later changes.
    fn watch_state(&self, known_revision: Option<u64>) -> WatchState {
        let list = self.list.borrow();
        WatchState {
            is_outdated: known_revision.is_none_or(|known| known != list.revision),
            changed: self.changed.subscribe(),
        }
    }
}

/// Reads the next request. Returns `None` if the peer has closed the connection.
async fn read_request(
    mut stream: &Async<TcpStream>,
    decoder: &mut RequestDecoder,
    input: &mut Vec<u8>,
) -> io::Result<Option<Message<Request<Vec<u8>>>>> {
    let mut chunk = vec![0; READ_CHUNK_BYTES];
    loop {
        match decoder.decode(input).map_err(io::Error::other)? {
            Progress::Complete(message) => return Ok(Some(message)),
            Progress::Incomplete { .. } => match stream.read(&mut chunk).await? {
                0 => return Ok(None),
                length => input.extend_from_slice(&chunk[..length]),
            },
        }
    }
}

/// Returns the value of a parameter in the query component of `uri`, or `None` if the parameter is
/// missing or not a number.
fn numeric_parameter(uri: &Uri, name: &str) -> Option<u64> {
    let pairs = uri.query()?.split('&');
    let mut values = pairs.filter_map(|pair| pair.split_once('='));
    let (_, value) = values.find(|(key, _)| *key == name)?;
    value.parse().ok()
}
