//! Errors of the watch.

use http::StatusCode;
use http1_codec::ParseError;
use std::io;
use thiserror::Error;

/// Why the endpoint list could not be watched.
#[derive(Debug, Error)]
pub(super) enum DiscoveryError {
    /// The connection failed, or the response did not arrive in time.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The response is not valid HTTP/1.1.
    #[error(transparent)]
    InvalidResponse(#[from] ParseError),
    /// The response has a status other than 200. Discovery may not know the revision, as after a
    /// loss of its data.
    #[error("status {0}")]
    UnexpectedStatus(StatusCode),
    /// The response is not an endpoint list.
    #[error(transparent)]
    InvalidList(#[from] serde_json::Error),
    /// The list is older than the current one. Discovery may have lost its data or lag behind.
    #[error("a list older than the one in force")]
    OutdatedRevision,
    /// Discovery answered the request for the full list with changes.
    #[error("changes in place of the whole list")]
    DeltaInsteadOfSnapshot,
}

impl DiscoveryError {
    /// Returns whether the full list must be requested next, because discovery does not continue
    /// the current list.
    pub(super) fn requires_snapshot(&self) -> bool {
        match self {
            DiscoveryError::UnexpectedStatus(_)
            | DiscoveryError::OutdatedRevision
            | DiscoveryError::DeltaInsteadOfSnapshot => true,
            DiscoveryError::Connection(_)
            | DiscoveryError::InvalidResponse(_)
            | DiscoveryError::InvalidList(_) => false,
        }
    }
}
