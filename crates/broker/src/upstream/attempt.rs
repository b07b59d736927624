//! An attempt before it is sent and after it has ended.

use broker_types::query::AttemptId;
use broker_types::server::{NodeId, Outcome};
use broker_types::time::Micros;
use std::rc::Rc;

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
    /// Time until which the broker waits for the response. The frame states the time left when it is written.
    pub deadline: Micros,
    /// Time from which on the part must not be sent any more, if there is one.
    pub send_before: Option<Micros>,
    /// The query's idempotency key, if its class has one.
    pub idempotency_key: Option<Rc<str>>,
    /// The query's text.
    pub text: Rc<str>,
}

/// An attempt that has ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedAttempt {
    /// The attempt.
    pub attempt: AttemptId,
    /// Its outcome.
    pub outcome: Outcome,
    /// Time since it was handed to the pools, in microseconds.
    pub elapsed: Micros,
    /// Number of requests in flight at the server, if the response reports it.
    pub requests_in_flight: Option<f64>,
    /// The value, if the attempt was served.
    pub value: Option<String>,
}

impl EndedAttempt {
    /// An attempt that ended before it was handed to a connection.
    #[must_use]
    pub fn unsent(attempt: AttemptId, outcome: Outcome) -> Self {
        EndedAttempt {
            attempt,
            outcome,
            elapsed: 0,
            requests_in_flight: None,
            value: None,
        }
    }
}
