//! The effects of received frames on a connection and its attempts.

use broker_types::query::AttemptId;
use server_protocol::InvalidFrame;
use server_protocol::broker::PartResponse;
use thiserror::Error;

/// What the caller must do after a connection has handled the next received frame.
pub(super) enum FrameEffect {
    /// Nothing: all attempts continue, and further frames may have been received.
    Continue,
    /// Wait for further data: all received frames have been handled.
    AwaitData,
    /// End an attempt with the response that has arrived for it.
    EndAttempt {
        attempt: AttemptId,
        response: PartResponse,
    },
    /// Remove the connection, which the server is about to close, and end all its attempts.
    ConnectionLost,
    /// Close the connection, because the server has violated the protocol, and end all its
    /// attempts.
    ProtocolViolated {
        violation: ProtocolViolation,
        /// Attempt that was served by the response directly before the violation, if its value can
        /// no longer be relied on.
        revoked: Option<AttemptId>,
    },
}

impl From<ProtocolViolation> for FrameEffect {
    /// Returns the effect of a violation that says nothing about earlier responses.
    fn from(violation: ProtocolViolation) -> Self {
        FrameEffect::ProtocolViolated {
            violation,
            revoked: None,
        }
    }
}

/// Violation of the protocol by a server. Its connection is unusable afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum ProtocolViolation {
    /// A response names a part that is neither in flight nor cancelled.
    #[error("the response names a part that is not in flight")]
    UnexpectedResponse,
    /// Text follows a response that may be the rest of its value, because the length of its frame
    /// was too small.
    #[error("what follows a response may be the rest of its value")]
    IncompleteValue,
    /// Data arrived although no response is outstanding.
    #[error("data arrived although no response is expected")]
    UnsolicitedData,
    /// The rest of an incomplete frame did not arrive in time.
    #[error("the rest of the frame did not arrive in time")]
    IncompleteFrame,
    /// A frame could not be decoded.
    #[error(transparent)]
    InvalidFrame(#[from] InvalidFrame),
}
