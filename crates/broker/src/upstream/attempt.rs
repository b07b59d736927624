//! The records of an attempt: before it is sent, its result, and after it has ended.

use broker_types::query::AttemptId;
use broker_types::server::{NodeId, Outcome};
use broker_types::time::Timestamp;
use server_protocol::broker::PartResponse;
use std::rc::Rc;
use std::time::Duration;

/// An attempt to be sent to a data server.
#[derive(Clone, Debug)]
pub struct OutgoingAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// Data server that it is sent to.
    pub server: NodeId,
    /// The part to be sent.
    pub part: OutgoingPart,
}

/// The part that an attempt asks for, with all that goes into its frame.
#[derive(Clone, Debug)]
pub struct OutgoingPart {
    /// Id of the part on the wire.
    pub wire_id: String,
    /// Shard that the part asks for.
    pub shard: usize,
    /// Time until which the broker waits for the response. The frame states the time left when it
    /// is written.
    pub deadline: Timestamp,
    /// Time from which on the part must not be sent any more, if there is one.
    pub send_before: Option<Timestamp>,
    /// The query's idempotency key, if its class has one.
    pub idempotency_key: Option<Rc<str>>,
    /// The query's text.
    pub text: Rc<str>,
}

/// What an attempt ended with.
pub(super) struct AttemptResult {
    outcome: Outcome,
    requests_in_flight: Option<f64>,
    value: Option<String>,
}

impl From<Outcome> for AttemptResult {
    /// The result of an attempt that ended without a response.
    fn from(outcome: Outcome) -> Self {
        AttemptResult {
            outcome,
            requests_in_flight: None,
            value: None,
        }
    }
}

impl From<PartResponse> for AttemptResult {
    /// The result of an attempt that ended with this response. Only a served one has a value.
    fn from(response: PartResponse) -> Self {
        let is_served = response.outcome == Outcome::Served;
        AttemptResult {
            outcome: response.outcome,
            requests_in_flight: response.requests_in_flight,
            value: is_served.then_some(response.value),
        }
    }
}

/// The end of one of the attempts on a connection that fails.
pub(super) struct AttemptEnd {
    pub(super) attempt: AttemptId,
    pub(super) outcome: Outcome,
}

/// An attempt that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its outcome.
    pub outcome: Outcome,
    /// Time since it was handed to the pools.
    pub elapsed: Duration,
    /// Number of requests in flight at the server, if the response reports it.
    pub requests_in_flight: Option<f64>,
    /// The value, if the attempt was served.
    pub value: Option<String>,
}

impl EndedAttempt {
    /// An attempt that ended with this result.
    pub(super) fn new(attempt: AttemptId, elapsed: Duration, result: AttemptResult) -> Self {
        let AttemptResult {
            outcome,
            requests_in_flight,
            value,
        } = result;
        EndedAttempt {
            attempt,
            outcome,
            elapsed,
            requests_in_flight,
            value,
        }
    }

    /// An attempt that ended before it was handed to a connection.
    #[must_use]
    pub fn unsent(attempt: AttemptId, outcome: Outcome) -> Self {
        EndedAttempt::new(attempt, Duration::ZERO, outcome.into())
    }
}
