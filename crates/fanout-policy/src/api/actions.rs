//! Actions: the outputs of the policy.

use super::{Ms, NodeId, PartId, QueryId};

/// Maximum size of a gossip message in bytes.
pub const MAX_GOSSIP_BYTES: usize = 256;

/// An output of the policy. The caller carries out the actions of a batch in the order in which
/// they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt for a part. Attempts for the same server in the same batch share calls of up
    /// to [`Settings::max_parts_per_call`](super::Settings::max_parts_per_call) parts.
    SendAttempt {
        /// Identifier of the part.
        part: PartId,
        /// Name of the server.
        node: NodeId,
        /// Maximum time to wait for an answer; `None` to wait until the client's deadline.
        timeout: Option<Ms>,
    },
    /// Cancel an attempt that is in flight.
    CancelAttempt {
        /// Identifier of the part.
        part: PartId,
        /// Index of the attempt among those of its part, from 0.
        attempt: u32,
    },
    /// Answer the current step of the query with its parts that have been served. This ends the
    /// query, unless its class has a second step and this is the first answer.
    Answer {
        /// Identifier of the query.
        query: QueryId,
        /// Whether the answer is complete rather than partial.
        complete: bool,
    },
    /// End the query without an answer and tell the client that a retry is safe.
    Reject {
        /// Identifier of the query.
        query: QueryId,
        /// Delay after which the client should retry; `None` if the settings have no
        /// [`max_retry_after`](super::Settings::max_retry_after).
        retry_after: Option<Ms>,
    },
    /// End the query without an answer. The client is not told that a retry is safe.
    Fail {
        /// Identifier of the query.
        query: QueryId,
    },
    /// Send a gossip message of at most [`MAX_GOSSIP_BYTES`] bytes to all other aggregators.
    PublishLoad {
        /// Encoded message.
        bytes: Vec<u8>,
    },
    /// Start polling for changes of the endpoint list. Polling continues until it fails, which the
    /// caller reports by [`ListUpdate::Failed`](super::ListUpdate::Failed).
    PollEndpointList,
    /// Send [`Event::TimerFired`](super::Event::TimerFired) after a delay. At most one timer is set
    /// at a time: the next action of this kind follows only after that event.
    SetTimer {
        /// Delay from the time of the batch.
        after: Ms,
    },
}
