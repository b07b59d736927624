//! The fleet's discovery service: it publishes the endpoint list over HTTP/1.1, with watches.

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

/// Largest request that the service accepts.
const REQUEST_LIMITS: Limits = Limits {
    head_bytes: 16 * 1024,
    body_bytes: 64 * 1024,
};
/// Bytes that are read at once.
const READ_CHUNK_BYTES: usize = 4096;
/// The longest watch that is granted, in milliseconds.
const MAX_WATCH_MS: u64 = 60_000;

/// The state of a data server in the endpoint list.
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

/// A data server in the endpoint list.
#[derive(Clone, Debug)]
pub(crate) struct Endpoint {
    pub(crate) name: String,
    pub(crate) address: SocketAddr,
    pub(crate) cell: usize,
    pub(crate) state: EndpointState,
    /// When its process started, in Unix milliseconds.
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

/// The discovery service.
pub(crate) struct Discovery {
    state: RefCell<State>,
    /// Notified when the list changes.
    changed: Notifier,
}

struct State {
    revision: u64,
    endpoints: BTreeMap<String, PublishedEndpoint>,
}

struct PublishedEndpoint {
    endpoint: Endpoint,
    /// The revision of the list in which it last changed.
    revision: u64,
}

/// The state of a watch at one moment.
struct WatchState {
    /// Whether the list differs from the revision that the client knows.
    is_outdated: bool,
    changed: Subscription,
}

impl Discovery {
    pub(crate) fn new() -> Rc<Self> {
        let state = State {
            revision: 1,
            endpoints: BTreeMap::new(),
        };
        Rc::new(Discovery {
            state: RefCell::new(state),
            changed: Notifier::new(),
        })
    }

    /// Publishes an endpoint and notifies watches.
    pub(crate) fn publish(&self, endpoint: Endpoint) {
        let mut state = self.state.borrow_mut();
        state.revision += 1;
        let revision = state.revision;
        let published = PublishedEndpoint { endpoint, revision };
        state
            .endpoints
            .insert(published.endpoint.name.clone(), published);
        self.changed.notify_all();
    }

    /// The whole list, or its changes after a revision. A revision that has not been published is
    /// treated as none.
    pub(crate) fn list(&self, after: Option<u64>) -> Value {
        let state = self.state.borrow();
        let after = after.filter(|revision| *revision <= state.revision);
        let is_listed =
            |published: &&PublishedEndpoint| after.is_none_or(|after| published.revision > after);
        let endpoints = state.endpoints.values().filter(is_listed);
        json!(EndpointListWire {
            revision: state.revision,
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

    async fn respond(&self, request: &Request<Vec<u8>>) -> Response<Vec<u8>> {
        if request.uri().path() != LIST_PATH {
            let mut response = Response::new(Vec::new());
            *response.status_mut() = StatusCode::NOT_FOUND;
            return response;
        }
        let known_revision = query_number(request.uri(), REVISION_PARAMETER);
        let watch_ms = query_number(request.uri(), WATCH_PARAMETER)
            .unwrap_or(0)
            .min(MAX_WATCH_MS);
        self.watch(known_revision, Duration::from_millis(watch_ms))
            .await;
        Response::new(self.list(known_revision).to_string().into_bytes())
    }

    /// Waits until the list differs from the known revision, at most for this time.
    async fn watch(&self, known_revision: Option<u64>, duration: Duration) {
        let deadline = Instant::now() + duration;
        loop {
            let watch = self.watch_state(known_revision);
            if watch.is_outdated || Instant::now() >= deadline {
                return;
            }
            let timeout = async { _ = Timer::at(deadline).await };
            watch.changed.notified().or(timeout).await;
        }
    }

    fn watch_state(&self, known_revision: Option<u64>) -> WatchState {
        let state = self.state.borrow();
        WatchState {
            is_outdated: known_revision.is_none_or(|known| known != state.revision),
            changed: self.changed.subscribe(),
        }
    }
}

/// Reads the next request; `None` once the peer has closed the connection.
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

fn query_number(uri: &Uri, name: &str) -> Option<u64> {
    let pairs = uri.query()?.split('&');
    let mut values = pairs.filter_map(|pair| pair.split_once('='));
    let (_, value) = values.find(|(key, _)| *key == name)?;
    value.parse().ok()
}
