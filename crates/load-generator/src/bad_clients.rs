//! Clients that send requests which are costly to read or to decode, each again as soon as it is
//! answered. Tests and measurements run them beside usual clients.

mod requests;

pub use requests::BadRequest;

use crate::http1::Http1Client;
use crate::http2::Http2Client;
use async_channel::Sender;
use async_executor::LocalExecutor;
use async_io::{Async, Timer};
use futures_lite::AsyncWriteExt;
use requests::{RequestFactory, endless_head};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::Duration;

/// Pause of a client whose connection could not be opened or has failed.
const RECONNECT_PAUSE: Duration = Duration::from_millis(10);

/// How the clients connect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BadConnections {
    /// Over HTTP/1.1, each on a connection that it keeps.
    Http1Kept,
    /// Over HTTP/1.1, on a new connection for each request.
    Http1New,
    /// Over HTTP/2, all on this many connections, which they keep.
    Http2 {
        /// Number of connections.
        connections: usize,
    },
}

/// What a number of bad clients do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BadClientsPlan {
    /// What they send.
    pub request: BadRequest,
    /// How they connect.
    pub connections: BadConnections,
    /// Number of clients. Each has one request open at a time.
    pub clients: usize,
}

/// Bad clients on a thread of their own. Dropping them stops them.
pub struct BadClients {
    responses: Arc<AtomicU64>,
    stop: Sender<()>,
    thread: Option<JoinHandle<()>>,
}

impl BadClients {
    /// Starts clients of the broker whose listener, for the version of HTTP that the plan states, has
    /// this address.
    ///
    /// # Errors
    ///
    /// Returns an error if the thread cannot be started.
    pub fn start(address: SocketAddr, plan: BadClientsPlan) -> io::Result<BadClients> {
        let responses = Arc::<AtomicU64>::default();
        let (stop, stopped) = async_channel::bounded::<()>(1);
        let counter = responses.clone();
        let thread = std::thread::Builder::new()
            .name("bad-clients".to_owned())
            .spawn(move || {
                let executor = Rc::new(LocalExecutor::new());
                let clients = Clients {
                    address,
                    requests: Rc::new(RequestFactory::new(plan.request)),
                    responses: counter,
                    executor: executor.clone(),
                };
                clients.spawn(plan);
                async_io::block_on(executor.run(async { _ = stopped.recv().await }));
            })?;
        Ok(BadClients {
            responses,
            stop,
            thread: Some(thread),
        })
    }

    /// Returns the number of responses that the clients have received.
    #[must_use]
    pub fn responses(&self) -> u64 {
        self.responses.load(Ordering::Relaxed)
    }
}

impl Drop for BadClients {
    fn drop(&mut self) {
        self.stop.close();
        if let Some(thread) = self.thread.take() {
            let _ = thread.join();
        }
    }
}

/// What all clients share.
#[derive(Clone)]
struct Clients {
    address: SocketAddr,
    requests: Rc<RequestFactory>,
    responses: Arc<AtomicU64>,
    executor: Rc<LocalExecutor<'static>>,
}

impl Clients {
    /// Starts the tasks of all clients.
    fn spawn(&self, plan: BadClientsPlan) {
        let clients = self.clone();
        match plan.connections {
            BadConnections::Http2 { connections } => {
                let streams = plan.clients.div_ceil(connections);
                self.repeat(connections, move || clients.clone().use_http2(streams));
            }
            _ if plan.request == BadRequest::HeadByteByByte => {
                self.repeat(plan.clients, move || clients.clone().send_head_by_bytes());
            }
            connections => {
                let is_kept = connections == BadConnections::Http1Kept;
                self.repeat(plan.clients, move || clients.clone().use_http1(is_kept));
            }
        }
    }

    /// Starts `count` tasks, each of which runs `client` again and again.
    fn repeat<F: Future<Output = io::Result<()>> + 'static>(
        &self,
        count: usize,
        client: impl Fn() -> F + Clone + 'static,
    ) {
        for _ in 0..count {
            let client = client.clone();
            let run = async move {
                loop {
                    if client().await.is_err() {
                        Timer::after(RECONNECT_PAUSE).await;
                    }
                }
            };
            self.executor.spawn(run).detach();
        }
    }

    fn on_response(&self) {
        self.responses.fetch_add(1, Ordering::Relaxed);
    }

    /// Sends requests on one connection until it fails, or only one if it is not kept.
    async fn use_http1(self, is_kept: bool) -> io::Result<()> {
        let mut client = Http1Client::connect(self.address).await?;
        loop {
            client.send(&self.requests.next()).await?;
            self.on_response();
            if !is_kept {
                return Ok(());
            }
        }
    }

    /// Sends a head byte by byte, without an end, until the broker closes the connection.
    async fn send_head_by_bytes(self) -> io::Result<()> {
        let mut stream = Async::<TcpStream>::connect(self.address).await?;
        stream.get_ref().set_nodelay(true)?;
        for byte in endless_head() {
            stream.write_all(&[byte]).await?;
            futures_lite::future::yield_now().await;
        }
        Ok(())
    }

    /// Keeps requests open on `streams` streams of a connection until it fails.
    async fn use_http2(self, streams: usize) -> io::Result<()> {
        let connection = Http2Client::connect(self.address, &self.executor).await?;
        let connection = Rc::new(connection);
        let clients: Vec<_> = (0..streams)
            .map(|_| {
                let (clients, connection) = (self.clone(), connection.clone());
                self.executor
                    .spawn(async move { clients.use_stream(&connection).await })
            })
            .collect();
        for client in clients {
            client.await.map_err(io::Error::other)?;
        }
        Ok(())
    }

    /// Sends one request after the other until the connection fails.
    async fn use_stream(self, connection: &Http2Client) -> Result<(), h2::Error> {
        loop {
            connection.send(&self.requests.next()).await?;
            self.on_response();
        }
    }
}
