//! A client's HTTP/2 connection by prior knowledge, which carries many requests at once.

use crate::query::{LoadQuery, QueryOutcome};
use async_executor::{LocalExecutor, Task};
use async_io::Async;
use bytes::Bytes;
use h2::client::{Builder, ResponseFuture, SendRequest};
use h2::{Reason, SendStream};
use http::{Request, Response};
use std::io;
use std::net::{SocketAddr, TcpStream};
use tokio_util::compat::FuturesAsyncReadCompatExt;

/// An HTTP/2 connection. It ends when it is dropped.
pub struct Http2Client {
    sender: SendRequest<Bytes>,
    _driver: Task<()>,
}

/// What follows the head of a request on its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestBody {
    /// Nothing: the head ends the stream.
    Empty,
    /// The body.
    Follows,
}

/// A request in flight.
pub struct Http2Stream {
    response: ResponseFuture,
    body: SendStream<Bytes>,
}

impl Http2Client {
    /// Connects with the library's default settings.
    ///
    /// # Errors
    ///
    /// If the connection cannot be made.
    pub async fn connect(
        address: SocketAddr,
        executor: &LocalExecutor<'static>,
    ) -> io::Result<Self> {
        Self::connect_with(address, executor, &Builder::new()).await
    }

    /// Connects with these settings.
    ///
    /// # Errors
    ///
    /// If the connection cannot be made.
    pub async fn connect_with(
        address: SocketAddr,
        executor: &LocalExecutor<'static>,
        builder: &Builder,
    ) -> io::Result<Self> {
        let stream = Async::<TcpStream>::connect(address).await?;
        stream.get_ref().set_nodelay(true)?;
        let (sender, connection) = builder
            .handshake(stream.compat())
            .await
            .map_err(io::Error::other)?;
        let driver = executor.spawn(async move { _ = connection.await });
        Ok(Http2Client {
            sender,
            _driver: driver,
        })
    }

    /// Concurrent streams that the peer allows: `usize::MAX` until its SETTINGS have been received
    /// and applied.
    #[must_use]
    pub fn peer_stream_limit(&self) -> usize {
        self.sender.current_max_send_streams()
    }

    /// Opens a stream with a whole request, once the peer allows another stream.
    ///
    /// # Errors
    ///
    /// If the connection has ended or the request cannot be sent.
    pub async fn open(&self, request: &Request<Vec<u8>>) -> Result<Http2Stream, h2::Error> {
        let (head, body) = request.clone().into_parts();
        if body.is_empty() {
            return self.open_with_head(head, RequestBody::Empty).await;
        }
        let mut stream = self.open_with_head(head, RequestBody::Follows).await?;
        stream.body.send_data(Bytes::from(body), true)?;
        Ok(stream)
    }

    /// Opens a stream with the head of a request, whose body is never sent.
    ///
    /// # Errors
    ///
    /// If the connection has ended or the head cannot be sent.
    pub async fn open_without_body(
        &self,
        request: &Request<Vec<u8>>,
    ) -> Result<Http2Stream, h2::Error> {
        let (head, _) = request.clone().into_parts();
        self.open_with_head(head, RequestBody::Follows).await
    }

    async fn open_with_head(
        &self,
        head: http::request::Parts,
        body: RequestBody,
    ) -> Result<Http2Stream, h2::Error> {
        let mut sender = self.sender.clone().ready().await?;
        let request = Request::from_parts(head, ());
        let ends_stream = body == RequestBody::Empty;
        let (response, body) = sender.send_request(request, ends_stream)?;
        Ok(Http2Stream { response, body })
    }

    /// Sends a request and waits for its response.
    ///
    /// # Errors
    ///
    /// If the connection ends or the stream is reset.
    pub async fn send(&self, request: &Request<Vec<u8>>) -> Result<Response<Vec<u8>>, h2::Error> {
        self.open(request).await?.response().await
    }

    /// Sends a query and waits for its outcome.
    pub async fn send_query(&self, query: &LoadQuery) -> QueryOutcome {
        match self.send(&query.request()).await {
            Ok(response) => QueryOutcome::from_response(&response),
            Err(error) => QueryOutcome::Aborted(error.to_string()),
        }
    }
}

impl Http2Stream {
    /// Waits for the response.
    ///
    /// # Errors
    ///
    /// If the connection ends or the stream is reset.
    pub async fn response(self) -> Result<Response<Vec<u8>>, h2::Error> {
        let (head, mut body) = self.response.await?.into_parts();
        let mut bytes = Vec::new();
        while let Some(data) = body.data().await {
            let data = data?;
            bytes.extend_from_slice(&data);
            let _ = body.flow_control().release_capacity(data.len());
        }
        Ok(Response::from_parts(head, bytes))
    }

    /// Cancels the request.
    pub fn reset(mut self) {
        self.body.send_reset(Reason::CANCEL);
    }
}
