//! The connections over which a load is sent.

use super::Target;
use crate::direct::DirectClient;
use crate::http1::Http1Client;
use crate::http2::Http2Client;
use crate::query::{LoadQuery, QueryOutcome};
use async_executor::LocalExecutor;
use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;

/// Reason for which a second concurrent query to a data server is not sent.
const DIRECT_CONNECTION_IN_USE: &str =
    "the connection to the data server carries another query; the maximum is one in flight";

/// The connections to one target.
pub(super) enum Transport {
    Http1(Http1Pool),
    Http2(Http2Pool),
    /// Connection to a data server; `None` while it carries a query.
    Direct(RefCell<Option<DirectClient>>),
}

impl Transport {
    /// Connects to the target.
    pub(super) async fn open(
        target: Target,
        executor: &LocalExecutor<'static>,
    ) -> io::Result<Transport> {
        match target {
            Target::Http1 {
                address,
                connections,
            } => Ok(Transport::Http1(
                Http1Pool::open(address, connections).await?,
            )),
            Target::Http2 {
                address,
                connections,
            } => Ok(Transport::Http2(
                Http2Pool::open(address, connections, executor).await?,
            )),
            Target::Direct(address) => {
                let client = DirectClient::connect(address).await?;
                Ok(Transport::Direct(RefCell::new(Some(client))))
            }
        }
    }

    /// Sends a query and waits for its outcome.
    pub(super) async fn send_query(&self, query: &LoadQuery) -> QueryOutcome {
        match self {
            Transport::Http1(pool) => pool
                .send_query(query)
                .await
                .unwrap_or_else(|error| QueryOutcome::Aborted(error.to_string())),
            Transport::Http2(pool) => pool.next().send_query(query).await,
            Transport::Direct(idle) => {
                let Some(mut client) = idle.take() else {
                    return QueryOutcome::Aborted(DIRECT_CONNECTION_IN_USE.to_owned());
                };
                let result = client.send_query(query).await;
                idle.replace(Some(client));
                result.unwrap_or_else(|error| QueryOutcome::Aborted(error.to_string()))
            }
        }
    }
}

/// Pool of HTTP/1.1 connections, each of which carries one query at a time.
pub(super) struct Http1Pool {
    address: SocketAddr,
    /// Connections that carry no query.
    idle: RefCell<Vec<Http1Client>>,
}

impl Http1Pool {
    async fn open(address: SocketAddr, connections: usize) -> io::Result<Self> {
        let mut idle = Vec::with_capacity(connections);
        for _ in 0..connections {
            idle.push(Http1Client::connect(address).await?);
        }
        Ok(Http1Pool {
            address,
            idle: RefCell::new(idle),
        })
    }

    /// Sends a query on an idle connection, or on a new one if no connection is idle. A connection
    /// that fails is closed.
    async fn send_query(&self, query: &LoadQuery) -> io::Result<QueryOutcome> {
        let idle = self.idle.borrow_mut().pop();
        let mut client = match idle {
            Some(client) => client,
            None => Http1Client::connect(self.address).await?,
        };
        let response = client.send_or_reconnect(&query.request()).await?;
        self.idle.borrow_mut().push(client);
        Ok(QueryOutcome::from_response(&response))
    }
}

/// Pool of HTTP/2 connections, which are used in rotation.
pub(super) struct Http2Pool {
    clients: Vec<Http2Client>,
    /// Index in `clients` of the connection that carried the last query.
    last_used: Cell<usize>,
}

impl Http2Pool {
    async fn open(
        address: SocketAddr,
        connections: usize,
        executor: &LocalExecutor<'static>,
    ) -> io::Result<Self> {
        let mut clients = Vec::with_capacity(connections);
        for _ in 0..connections {
            clients.push(Http2Client::connect(address, executor).await?);
        }
        Ok(Http2Pool {
            clients,
            last_used: Cell::new(0),
        })
    }

    /// Returns the connection for the next query.
    fn next(&self) -> &Http2Client {
        let next = (self.last_used.get() + 1) % self.clients.len();
        self.last_used.set(next);
        &self.clients[next]
    }
}
