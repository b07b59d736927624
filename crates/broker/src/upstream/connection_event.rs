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
    ProtocolViolated(ProtocolViolation),
}

/// Violation of the protocol by a server. Its connection is unusable afterwards.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum ProtocolViolation {
    /// A response names a part that is neither in flight nor cancelled.
    #[error("the response names a part that is not in flight")]
    UnexpectedResponse,
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
