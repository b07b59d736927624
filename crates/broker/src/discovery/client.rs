//! One HTTP/1.1 connection to discovery.

use super::error::DiscoveryError;
use crate::clock::with_timeout;
use crate::net::read_some;
use async_io::Async;
use broker_types::server::EndpointList;
use futures_lite::AsyncWriteExt;
use http::{Response, StatusCode};
use http1_codec::{Limits, Message, Progress, ResponseDecoder};
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// Time for which discovery may delay its response until the list changes.
///
/// The broker counts as notified of a change 6 s after it, whether or not its watch has failed.
/// Noticing that a watch has failed (after [`RESPONSE_GRACE`] more), a backoff, a failed connect
/// and another backoff must fit well within.
pub(super) const POLL_WAIT: Duration = Duration::from_secs(2);
/// Time limit of a connect.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Time by which the response to a poll may be later than [`POLL_WAIT`].
const RESPONSE_GRACE: Duration = Duration::from_secs(1);
/// Time limit of the response with the full list, which is not delayed but may be long.
const FULL_LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// The longest response: a list of many thousand servers.
const RESPONSE_LIMITS: Limits = Limits {
    head_bytes: 16 * 1024,
    body_bytes: 4 << 20,
};

/// A connection to discovery.
pub(super) struct DiscoveryClient {
    address: SocketAddr,
    stream: Async<TcpStream>,
    decoder: ResponseDecoder,
    /// Bytes received and not yet decoded.
    input: Vec<u8>,
    /// Whether the last response allows another request.
    is_reusable: bool,
}

impl DiscoveryClient {
    /// Opens a connection.
    pub(super) async fn connect(address: SocketAddr) -> io::Result<Self> {
        let stream = with_timeout(CONNECT_TIMEOUT, Async::<TcpStream>::connect(address)).await?;
        stream.get_ref().set_nodelay(true)?;
        Ok(DiscoveryClient {
            address,
            stream,
            decoder: ResponseDecoder::new(RESPONSE_LIMITS),
            input: Vec::new(),
            is_reusable: true,
        })
    }

    /// Requests the changes since a revision, or the full list.
    pub(super) async fn fetch(
        &mut self,
        revision: Option<u64>,
    ) -> Result<EndpointList, DiscoveryError> {
        let request = self.request(revision);
        self.stream.write_all(request.as_bytes()).await?;
        let timeout = match revision {
            Some(_) => POLL_WAIT + RESPONSE_GRACE,
            None => FULL_LIST_TIMEOUT,
        };
        let message = with_timeout(timeout, async { Ok(self.read_response().await) }).await??;
        let response = message.value;
        if response.status() != StatusCode::OK {
            return Err(DiscoveryError::UnexpectedStatus(response.status()));
        }
        let list: EndpointList = serde_json::from_slice(response.body())?;
        check_continuity(&list, revision)?;
        self.is_reusable = message.keep_alive;
        Ok(list)
    }

    /// Whether the connection can be used for another request.
    pub(super) fn is_reusable(&self) -> bool {
        self.is_reusable
    }

    fn request(&self, revision: Option<u64>) -> String {
        let query = match revision {
            Some(revision) => format!("?index={revision}&wait={}", POLL_WAIT.as_millis()),
            None => String::new(),
        };
        let host = self.address;
        format!("GET /api/targets{query} HTTP/1.1\r\nHost: {host}\r\n\r\n")
    }

    async fn read_response(&mut self) -> Result<Message<Response<Vec<u8>>>, DiscoveryError> {
        loop {
            if let Progress::Complete(message) = self.decoder.decode(&mut self.input)? {
                return Ok(message);
            }
            if read_some(&self.stream, &mut self.input).await? == 0 {
                // The end of the stream is the end of a response without a length. A reset is an
                // error of its own.
                let message = self.decoder.finish();
                return message.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        }
    }
}

/// Checks that a list continues the one with this revision, or that it is full if there is none.
fn check_continuity(list: &EndpointList, revision: Option<u64>) -> Result<(), DiscoveryError> {
    match revision {
        Some(revision) if list.revision < revision => Err(DiscoveryError::OutdatedRevision),
        None if !list.is_snapshot => Err(DiscoveryError::DeltaInsteadOfSnapshot),
        _ => Ok(()),
    }
}

#[cfg(test)]
mod tests;
