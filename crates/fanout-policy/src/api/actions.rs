//! Outputs of the policy.

use super::{Ms, NodeId, PartId, QueryId};

/// Largest size of a gossip message in bytes.
pub const MAX_GOSSIP_BYTES: usize = 256;

/// An output of the policy. The caller carries out actions in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt for a part. Attempts for one server in one batch share calls.
    SendAttempt {
        /// The part.
        part: PartId,
        /// The server.
        node: NodeId,
        /// Longest wait for an answer; `None` waits until the client's deadline.
        timeout: Option<Ms>,
    },
    /// Stop waiting for an attempt.
    CancelAttempt {
        /// The part.
        part: PartId,
        /// Index of the attempt among those of its part.
        attempt: u32,
    },
    /// Answer the query from the parts that have been served.
    Answer {
        /// The query.
        query: QueryId,
        /// Whether the answer is complete.
        complete: bool,
    },
    /// End the query without an answer and state that a retry is safe.
    Reject {
        /// The query.
        query: QueryId,
        /// When the client should retry.
        retry_after: Option<Ms>,
    },
    /// End the query without an answer and without a statement on retries.
    Fail {
        /// The query.
        query: QueryId,
    },
    /// Send a gossip message of at most [`MAX_GOSSIP_BYTES`] bytes to all other aggregators.
    PublishLoad {
        /// The message.
        bytes: Vec<u8>,
    },
    /// Poll for changes of the endpoint list from now on.
    PollEndpointList,
    /// Send [`Event::TimerFired`](super::Event::TimerFired) after this time.
    SetTimer {
        /// Delay from now.
        after: Ms,
    },
}
