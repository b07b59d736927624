//! Data types for an attempt that is to be sent, for its result, and for an attempt that has ended.

use crate::request_ids::RequestIdLease;
use broker_types::query::AttemptId;
use broker_types::server::{NodeId, Outcome};
use broker_types::time::Timestamp;
use server_protocol::broker::PartResponse;
use std::rc::Rc;
use std::time::Duration;

/// An attempt to be sent to a data server.
#[derive(Clone, Debug)]
pub struct OutgoingAttempt {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Data server that the attempt is sent to.
    pub server: NodeId,
    /// Part that the attempt requests.
    pub part: OutgoingPart,
    /// Keeps the request id of the attempt's query in use.
    pub request_id: RequestIdLease,
}

/// The part that an attempt requests, with everything that is needed to encode it into a frame.
#[derive(Clone, Debug)]
pub struct OutgoingPart {
    /// Id of the part in the frames of its connection.
    pub wire_id: Rc<str>,
    /// Index of the shard that the part reads.
    pub shard: usize,
    /// Time until which the broker waits for the response. The frame contains the time that is left
    /// when the frame is written.
    pub deadline: Timestamp,
    /// Time from which on the part must no longer be sent. `None` means that only the deadline
    /// applies.
    pub send_before: Option<Timestamp>,
    /// Idempotency key of the query, if its class uses one.
    pub idempotency_key: Option<Rc<str>>,
    /// Predicate of the query, which the broker sends to data servers with each part.
    pub text: Rc<str>,
}

/// Result of an attempt.
pub(super) struct AttemptResult {
    outcome: Outcome,
    requests_in_flight: Option<f64>,
    value: Option<String>,
}

impl From<Outcome> for AttemptResult {
    /// Creates the result of an attempt that ended without a response.
    fn from(outcome: Outcome) -> Self {
        AttemptResult {
            outcome,
            requests_in_flight: None,
            value: None,
        }
    }
}

impl From<PartResponse> for AttemptResult {
    /// Creates the result of an attempt that ended with `response`. Only a served attempt has a
    /// value.
    fn from(response: PartResponse) -> Self {
        let is_served = response.outcome == Outcome::Served;
        AttemptResult {
            outcome: response.outcome,
            requests_in_flight: response.requests_in_flight,
            value: is_served.then_some(response.value),
        }
    }
}

/// Outcome of one of the attempts that were in flight on a connection when it failed.
pub(super) struct AttemptOutcome {
    pub(super) attempt: AttemptId,
    pub(super) outcome: Outcome,
}

/// An attempt that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedAttempt {
    /// Id of the attempt.
    pub attempt: AttemptId,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Time between the assignment of the attempt to a connection and its end. Zero if it was never
    /// assigned.
    pub elapsed: Duration,
    /// Number of requests in flight at the server, if a response reported it.
    pub requests_in_flight: Option<f64>,
    /// Value in the response, if the attempt was served.
    pub value: Option<String>,
}

impl EndedAttempt {
    /// Creates the record of an attempt that ended with `result`.
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

    /// Creates the record of an attempt that ended before it was assigned to a connection.
    #[must_use]
    pub fn unsent(attempt: AttemptId, outcome: Outcome) -> Self {
        EndedAttempt::new(attempt, Duration::ZERO, outcome.into())
    }
}
