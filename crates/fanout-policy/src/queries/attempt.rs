//! Attempts: requests that execute one part at one server.

use crate::api::{Ms, Outcome};
use crate::fleet::ServerIndex;

/// An attempt in flight, with the data that is needed to update the statistics when it ends.
pub(crate) struct InFlightAttempt {
    /// Index of the server that the attempt is sent to.
    pub(crate) server: ServerIndex,
    /// Index of the class of the attempt's query.
    pub(crate) class: usize,
    /// Work of the attempt itself: the part, and the call if the part opens one.
    pub(crate) work: Ms,
    /// Outstanding work at the server when the attempt was sent, including the attempt's own work.
    pub(crate) work_ahead: Ms,
    /// Time at which the attempt was sent.
    pub(crate) sent_at: Ms,
    /// Latency that was forecast when the attempt was sent.
    pub(crate) expected_latency: Ms,
}

/// Record of an attempt, kept with its part. It remains after the attempt has ended, together with
/// the outcome.
pub(crate) struct Attempt {
    server: ServerIndex,
    sent_at: Ms,
    expected_latency: Ms,
    /// How the attempt ended; `None` while it is in flight.
    outcome: Option<Outcome>,
}

impl Attempt {
    /// Creates the record of an attempt that is being sent.
    pub(crate) fn sent(attempt: &InFlightAttempt) -> Self {
        Attempt {
            server: attempt.server,
            sent_at: attempt.sent_at,
            expected_latency: attempt.expected_latency,
            outcome: None,
        }
    }

    /// Returns the index of the server that the attempt was sent to.
    pub(crate) fn server(&self) -> ServerIndex {
        self.server
    }

    /// Returns the time at which the attempt was sent.
    pub(crate) fn sent_at(&self) -> Ms {
        self.sent_at
    }

    /// Returns the latency that was forecast when the attempt was sent.
    pub(crate) fn expected_latency(&self) -> Ms {
        self.expected_latency
    }

    /// Records how the attempt ended.
    pub(crate) fn record_outcome(&mut self, outcome: Outcome) {
        self.outcome = Some(outcome);
    }

    /// Returns whether the attempt has not ended yet.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Returns whether the attempt ended because its connection broke.
    pub(crate) fn lost_connection(&self) -> bool {
        self.outcome == Some(Outcome::ConnectionLost)
    }

    /// Returns whether the server may have executed the part. This is also true while the attempt
    /// is in flight.
    pub(crate) fn may_have_run(&self) -> bool {
        !matches!(
            self.outcome,
            Some(Outcome::Overloaded | Outcome::Unreachable | Outcome::NotSent)
        )
    }
}
