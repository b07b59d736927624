//! Errors of the watch of the endpoint list.

use http::StatusCode;
use http1_codec::ParseError;
use std::io;
use thiserror::Error;

/// The reason why a poll of discovery failed.
#[derive(Debug, Error)]
pub(super) enum DiscoveryError {
    /// The connection could not be opened or failed, or the response did not arrive within its time
    /// limit.
    #[error("connection to discovery: {0}")]
    Connection(#[from] io::Error),
    /// The response is not valid HTTP/1.1, or it is larger than the limit.
    #[error("response of discovery cannot be decoded: {0}")]
    InvalidResponse(#[from] ParseError),
    /// The response has a status other than 200. One possible reason is that discovery has lost its
    /// data and no longer has the requested revision.
    #[error("expected status 200 from discovery, received {0}")]
    UnexpectedStatus(StatusCode),
    /// The body of the response is not an endpoint list.
    #[error("response of discovery is not an endpoint list: {0}")]
    InvalidList(#[from] serde_json::Error),
    /// The received list is older than the current one. Discovery may have lost its data, or its
    /// copy of the list may not be up to date.
    #[error("received endpoint list has revision {received}, older than the current {current}")]
    OutdatedRevision {
        /// Revision of the received list.
        received: u64,
        /// Revision of the current list.
        current: u64,
    },
    /// Discovery answered a request for the full list with changes only.
    #[error("expected the full endpoint list from discovery, received only changes")]
    DeltaInsteadOfSnapshot,
}

impl DiscoveryError {
    /// Returns whether the full list must be requested next, because discovery does not provide the
    /// changes since the current revision.
    pub(super) fn requires_snapshot(&self) -> bool {
        match self {
            DiscoveryError::UnexpectedStatus(_)
            | DiscoveryError::OutdatedRevision { .. }
            | DiscoveryError::DeltaInsteadOfSnapshot => true,
            DiscoveryError::Connection(_)
            | DiscoveryError::InvalidResponse(_)
            | DiscoveryError::InvalidList(_) => false,
        }
    }
}
