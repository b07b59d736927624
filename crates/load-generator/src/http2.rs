//! HTTP/2 client that uses prior knowledge (RFC 9113, section 3.3) and sends concurrent requests
//! over one connection.

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

/// An HTTP/2 connection of a client. Dropping it closes the connection.
pub struct Http2Client {
    sender: SendRequest<Bytes>,
    /// Task that reads and writes the frames of the connection. Dropping it closes the connection.
    _driver: Task<()>,
}

/// Whether a body follows the head of a request on its stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestBody {
    /// No body follows: HEADERS carries the flag `END_STREAM`.
    Empty,
    /// A body follows: HEADERS leaves the stream open.
    Follows,
}

/// The stream of a request in flight.
pub struct Http2Stream {
    response: ResponseFuture,
    body: SendStream<Bytes>,
}

impl Http2Client {
    /// Connects with the default settings of the `h2` library. The frames of the connection are
    /// read and written by a task on `executor`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be established.
    pub async fn connect(
        address: SocketAddr,
        executor: &LocalExecutor<'static>,
    ) -> io::Result<Self> {
        Self::connect_with(address, executor, &Builder::new()).await
    }

    /// Connects with the settings of `builder`. The frames of the connection are read and written
    /// by a task on `executor`.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be established.
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

    /// Returns the maximum number of concurrent streams that the peer allows, or `usize::MAX` until
    /// the peer's SETTINGS have been received and applied.
    #[must_use]
    pub fn peer_stream_limit(&self) -> usize {
        self.sender.current_max_send_streams()
    }

    /// Waits until the peer allows another stream, then opens it and sends the whole request.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has ended or the request cannot be sent.
    pub async fn open(&self, request: &Request<Vec<u8>>) -> Result<Http2Stream, h2::Error> {
        let (head, body) = request.clone().into_parts();
        if body.is_empty() {
            return self.open_with_head(head, RequestBody::Empty).await;
        }
        let mut stream = self.open_with_head(head, RequestBody::Follows).await?;
        stream.body.send_data(Bytes::from(body), true)?;
        Ok(stream)
    }

    /// Waits until the peer allows another stream, then opens it and sends only the head of the
    /// request. The stream stays open, as if the body were to follow.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection has ended or the head cannot be sent.
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
    /// Returns an error if the connection ends or the stream is reset.
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
    /// Returns an error if the connection ends or the stream is reset.
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

    /// Cancels the request: resets its stream with the error code CANCEL.
    pub fn reset(mut self) {
        self.body.send_reset(Reason::CANCEL);
    }
}
