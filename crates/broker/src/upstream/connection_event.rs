//! What an event of a connection means for the attempts on it.

use broker_types::query::AttemptId;
use server_protocol::InvalidFrame;
use server_protocol::broker::PartResponse;
use thiserror::Error;

/// What the caller has to do after an event of a connection.
pub(super) enum EventEffect {
    /// Nothing: all attempts go on.
    Continue,
    /// End an attempt with the response to it.
    Respond {
        attempt: AttemptId,
        response: PartResponse,
    },
    /// End all attempts on the connection, which has been closed or could not be opened.
    ConnectionLost,
    /// End all attempts on the connection and close it.
    ProtocolViolated(ProtocolViolation),
}

/// Reason why what a server sent makes its connection unusable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub(super) enum ProtocolViolation {
    /// A response names a part that is not in flight.
    #[error("the part of the response is not in flight")]
    UnexpectedResponse,
    /// Data arrived although no response is expected.
    #[error("data arrived although no response is expected")]
    UnsolicitedData,
    /// The rest of a frame does not arrive.
    #[error("the rest of the frame does not arrive")]
    IncompleteFrame,
    /// A frame could not be decoded.
    #[error(transparent)]
    InvalidFrame(#[from] InvalidFrame),
}
