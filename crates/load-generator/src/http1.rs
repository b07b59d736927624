//! HTTP/1.1 client that sends one request at a time over a connection.

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http::{Request, Response};
use http1_codec::{Limits, Progress, ResponseDecoder};
use std::fmt::Write;
use std::io;
use std::net::{SocketAddr, TcpStream};

/// Maximum size of a response.
const RESPONSE_LIMITS: Limits = Limits {
    head_bytes: 16 * 1024,
    body_bytes: 1 << 20,
};
/// Maximum number of bytes that one read returns.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// An HTTP/1.1 connection of a client. It carries one request at a time.
pub struct Http1Client {
    address: SocketAddr,
    stream: Async<TcpStream>,
    decoder: ResponseDecoder,
    /// Received bytes that are not decoded yet.
    input: Vec<u8>,
    /// Buffer for reads.
    chunk: Vec<u8>,
}

impl Http1Client {
    /// Connects to a server.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection cannot be established.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = Async::<TcpStream>::connect(address).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok(Http1Client {
            address,
            stream,
            decoder: ResponseDecoder::new(RESPONSE_LIMITS),
            input: Vec::new(),
            chunk: vec![0; READ_CHUNK_BYTES],
        })
    }

    /// Sends a request and waits for its response. If the connection fails and no received bytes
    /// are left to decode, connects again and sends the request once more. The broker has then
    /// usually closed the idle connection before the request arrived (RFC 9112, section 9.3.1).
    ///
    /// A connection that fails immediately after a complete response head is treated in the same
    /// way, because the decoder has already removed the head from the received bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the response is malformed.
    pub(crate) async fn send_or_reconnect(
        &mut self,
        request: &Request<Vec<u8>>,
    ) -> io::Result<Response<Vec<u8>>> {
        match self.send(request).await {
            Err(_) if self.input.is_empty() => {
                *self = Http1Client::connect(self.address).await?;
                self.send(request).await
            }
            result => result,
        }
    }

    /// Sends only the head of a request, without its body.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails.
    pub async fn send_head(&mut self, request: &Request<Vec<u8>>) -> io::Result<()> {
        self.stream.write_all(&encode_head(request)).await
    }

    /// Sends a request and waits for its response.
    ///
    /// # Errors
    ///
    /// Returns an error if the connection fails or the response is malformed.
    pub async fn send(&mut self, request: &Request<Vec<u8>>) -> io::Result<Response<Vec<u8>>> {
        let bytes = [&encode_head(request)[..], request.body()].concat();
        self.stream.write_all(&bytes).await?;
        loop {
            let progress = self.decoder.decode(&mut self.input);
            match progress.map_err(io::Error::other)? {
                Progress::Complete(message) => return Ok(message.value),
                Progress::Incomplete { .. } => match self.stream.read(&mut self.chunk).await? {
                    0 => return Err(io::ErrorKind::UnexpectedEof.into()),
                    length => self.input.extend_from_slice(&self.chunk[..length]),
                },
            }
        }
    }
}

/// Encodes the request line and the header fields of a request.
fn encode_head(request: &Request<Vec<u8>>) -> Vec<u8> {
    let uri = request.uri();
    let target = uri.path_and_query().map_or("/", |path| path.as_str());
    let host = uri.authority().map_or("", |authority| authority.as_str());
    let mut head = format!("{} {target} HTTP/1.1\r\nHost: {host}\r\n", request.method());
    for (name, value) in request.headers() {
        let _ = write!(head, "{name}: {}\r\n", value.to_str().unwrap_or_default());
    }
    head.push_str("\r\n");
    head.into_bytes()
}
