//! One HTTP/1.1 connection to discovery, on which the endpoint list is requested.

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

/// Time for which discovery may delay its response while the list does not change. The broker
/// requests this time with each poll.
///
/// A failed watch must be replaced by a working one within 6 s. If a watch becomes silent, the
/// discovery protocol counts the broker as notified of each change at the latest 6 s after that,
/// whether or not the change has arrived. From then on, apart from a grace period, an attempt that
/// is sent to a draining or removed server breaks the rule on drains.
///
/// The broker detects a failed watch after `POLL_WAIT` and [`RESPONSE_GRACE`]. If its first attempt
/// to reconnect fails, a backoff delay, [`CONNECT_TIMEOUT`] and another backoff delay follow. The
/// sum of these five times must stay well below 6 s.
pub(super) const POLL_WAIT: Duration = Duration::from_secs(2);
/// Time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);
/// Additional time after [`POLL_WAIT`] within which the response to a poll must have arrived.
const RESPONSE_GRACE: Duration = Duration::from_secs(1);
/// Time limit for the response to a request for the full list. Discovery does not delay this
/// response, but it may be large.
const FULL_LIST_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a response, which suffices for a list of many thousand servers.
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
    /// Whether the connection stays open after the last response, so that another request can be
    /// sent.
    is_reusable: bool,
}

impl DiscoveryClient {
    /// Opens a connection to discovery.
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

    /// Requests the changes of the endpoint list since `revision`, or the full list if `revision`
    /// is `None`, and waits for the response.
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
        check_list_applies(&list, revision)?;
        self.is_reusable = message.keep_alive;
        Ok(list)
    }

    /// Returns whether the connection can be used for another request.
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
                // A response without a length ends with the stream. A connection that is reset does
                // not reach this line, because the read then returns an error.
                let message = self.decoder.finish();
                return message.ok_or_else(|| io::Error::from(io::ErrorKind::UnexpectedEof).into());
            }
        }
    }
}

/// Checks that a received list can be applied to the current one. If the changes since
/// `current_revision` were requested, the received list must not be older than this revision.
/// `None` means that the full list was requested: the received list must then be a full one.
fn check_list_applies(
    list: &EndpointList,
    current_revision: Option<u64>,
) -> Result<(), DiscoveryError> {
    match current_revision {
        Some(current) if list.revision < current => Err(DiscoveryError::OutdatedRevision {
            received: list.revision,
            current,
        }),
        None if !list.is_snapshot => Err(DiscoveryError::DeltaInsteadOfSnapshot),
        _ => Ok(()),
    }
}

#[cfg(test)]
mod tests;
