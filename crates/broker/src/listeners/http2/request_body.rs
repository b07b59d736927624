//! Receives the body of a request whose head has been received, and checks the request's authority.

use crate::clock::with_timeout;
use crate::listeners::timeouts::RECEIVE_TIMEOUT;
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

/// Receives a body. The flow-control capacity that it uses is released only once the body is
/// complete. The bodies that are being received on a connection together therefore never exceed the
/// connection's window.
///
/// # Errors
///
/// The error of the stream, or [`io::ErrorKind::TimedOut`] if nothing arrives for
/// [`RECEIVE_TIMEOUT`].
pub(super) async fn receive_body(
    body: &mut RecvStream,
    headers: &HeaderMap,
) -> io::Result<ReceivedBody> {
    if declared_length(headers).is_some_and(|length| length > MAX_BODY_BYTES as u64) {
        return Ok(ReceivedBody::TooLong);
    }
    let mut bytes = Vec::new();
    while let Some(data) = with_timeout(RECEIVE_TIMEOUT, async {
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
    with_timeout(RECEIVE_TIMEOUT, async {
        body.trailers().await.map_err(io::Error::other)
    })
    .await?;
    let _ = body.flow_control().release_capacity(bytes.len());
    Ok(ReceivedBody::Complete(bytes))
}

/// Returns the body length that a request declares, if any. The `h2` library checks that the length
/// of the DATA frames matches it.
fn declared_length(headers: &HeaderMap) -> Option<u64> {
    headers.get(CONTENT_LENGTH)?.to_str().ok()?.parse().ok()
}

/// Reason why the authority of a request is invalid. The client receives the text.
#[derive(Debug, Error)]
pub(super) enum AuthorityError {
    /// The request has more than one `Host` field.
    #[error("Host is given twice")]
    RepeatedHost,
    /// The `Host` field differs from `:authority`.
    #[error("Host is not the request's authority")]
    Mismatch,
}

/// Checks that there is at most one `Host` field, and that it matches `:authority` if both are
/// present (RFC 9113, section 8.3.1).
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
