//! A client's HTTP/1.1 connection, which carries one request at a time.

use async_io::Async;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use http::{Request, Response};
use http1_codec::{Limits, Progress, ResponseDecoder};
use std::fmt::Write;
use std::io;
use std::net::{SocketAddr, TcpStream};

/// Largest response that a client accepts.
const RESPONSE_LIMITS: Limits = Limits {
    head_bytes: 16 * 1024,
    body_bytes: 1 << 20,
};
/// Bytes that are read at once.
const READ_CHUNK_BYTES: usize = 16 * 1024;

/// An HTTP/1.1 connection.
pub struct Http1Client {
    stream: Async<TcpStream>,
    decoder: ResponseDecoder,
    input: Vec<u8>,
    chunk: Vec<u8>,
}

impl Http1Client {
    /// Connects.
    ///
    /// # Errors
    ///
    /// If the connection cannot be made.
    pub async fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = Async::<TcpStream>::connect(address).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok(Http1Client {
            stream,
            decoder: ResponseDecoder::new(RESPONSE_LIMITS),
            input: Vec::new(),
            chunk: vec![0; READ_CHUNK_BYTES],
        })
    }

    /// Sends a request and waits for its response. If the connection ends before any byte of the
    /// response, the request is sent once more on a new one: the broker may have closed an idle
    /// connection while the request was on its way (RFC 9112, section 9.3.1).
    ///
    /// # Errors
    ///
    /// If the connection fails or the response is malformed.
    pub(crate) async fn send_or_reconnect(
        &mut self,
        request: &Request<Vec<u8>>,
    ) -> io::Result<Response<Vec<u8>>> {
        match self.send(request).await {
            Err(_) if self.input.is_empty() => {
                let address = self.stream.get_ref().peer_addr()?;
                *self = Http1Client::connect(address).await?;
                self.send(request).await
            }
            result => result,
        }
    }

    /// Sends the head of a request, and never its body.
    ///
    /// # Errors
    ///
    /// If the connection fails.
    pub async fn send_head(&mut self, request: &Request<Vec<u8>>) -> io::Result<()> {
        self.stream.write_all(&encode_head(request)).await
    }

    /// Sends a request and waits for its response.
    ///
    /// # Errors
    ///
    /// If the connection fails or the response is malformed.
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
