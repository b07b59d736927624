//! Receiving the rest of a request whose head has been received.

use crate::clock::with_timeout;
use crate::listeners::timeouts::SILENCE_TIMEOUT;
use h2::RecvStream;
use http::header::{CONTENT_LENGTH, HOST};
use http::{HeaderMap, Request};
use query_api::MAX_BODY_BYTES;
use std::io;
use thiserror::Error;

/// Result of receiving a body.
pub(super) enum ReceivedBody {
    /// The body is complete.
    Complete(Vec<u8>),
    /// The body is longer than [`MAX_BODY_BYTES`].
    TooLong,
}

/// Receives a body. Its flow-control window is released once it is complete, so that all bodies
/// being received together stay within the connection's window.
///
/// Fails with [`io::ErrorKind::TimedOut`] if nothing arrives for [`SILENCE_TIMEOUT`].
pub(super) async fn receive_body(
    body: &mut RecvStream,
    headers: &HeaderMap,
) -> io::Result<ReceivedBody> {
    if declared_length(headers).is_some_and(|length| length > MAX_BODY_BYTES as u64) {
        return Ok(ReceivedBody::TooLong);
    }
    let mut bytes = Vec::new();
    while let Some(data) = with_timeout(SILENCE_TIMEOUT, async {
        body.data().await.transpose().map_err(io::Error::other)
    })
    .await?
    {
        if bytes.len() + data.len() > MAX_BODY_BYTES {
            return Ok(ReceivedBody::TooLong);
        }
        bytes.extend_from_slice(&data);
    }
    // Trailers are discarded, as over HTTP/1.1.
    with_timeout(SILENCE_TIMEOUT, async {
        body.trailers().await.map_err(io::Error::other)
    })
    .await?;
    let _ = body.flow_control().release_capacity(bytes.len());
    Ok(ReceivedBody::Complete(bytes))
}

/// The length that a request declares. The `h2` library checks that its DATA frames match it.
fn declared_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Why the authority of a request is invalid.
#[derive(Debug, Error)]
pub(super) enum AuthorityError {
    /// There are several `Host` fields.
    #[error("Host is given twice")]
    RepeatedHost,
    /// `Host` differs from `:authority`.
    #[error("Host is not the request's authority")]
    Mismatch,
}

/// Checks that `Host`, if present, matches `:authority` (RFC 9113, section 8.3.1).
pub(super) fn check_authority(request: &Request<Vec<u8>>) -> Result<(), AuthorityError> {
    let mut hosts = request.headers().get_all(HOST).iter();
    let host = hosts.next();
    if hosts.next().is_some() {
        return Err(AuthorityError::RepeatedHost);
    }
    match (host, request.uri().authority()) {
        (Some(host), Some(authority))
            if !host
                .as_bytes()
                .eq_ignore_ascii_case(authority.as_str().as_bytes()) =>
        {
            Err(AuthorityError::Mismatch)
        }
        _ => Ok(()),
    }
}
