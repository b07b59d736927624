//! Attempts to execute a part at a server.

use crate::api::{Ms, Outcome};
use crate::fleet::ServerIndex;

/// An attempt in flight with what is needed to learn from its outcome.
pub(crate) struct InFlightAttempt {
    /// Index of the server.
    pub(crate) server: ServerIndex,
    /// Index of the class of its query.
    pub(crate) class: usize,
    /// Its own work.
    pub(crate) work: Ms,
    /// Work at the server when it was sent, including its own.
    pub(crate) work_ahead: Ms,
    /// When it was sent.
    pub(crate) sent_at: Ms,
    /// Forecast latency when it was sent.
    pub(crate) expected_latency: Ms,
}

/// An attempt in the record of its part, in flight or ended.
pub(crate) struct Attempt {
    server: ServerIndex,
    sent_at: Ms,
    expected_latency: Ms,
    /// How it ended; `None` while it is in flight.
    outcome: Option<Outcome>,
}

impl Attempt {
    /// The record of an attempt that is sent.
    pub(crate) fn sent(attempt: &InFlightAttempt) -> Self {
        Attempt {
            server: attempt.server,
            sent_at: attempt.sent_at,
            expected_latency: attempt.expected_latency,
            outcome: None,
        }
    }

    /// Index of the server.
    pub(crate) fn server(&self) -> ServerIndex {
        self.server
    }

    /// When it was sent.
    pub(crate) fn sent_at(&self) -> Ms {
        self.sent_at
    }

    /// Forecast latency when it was sent.
    pub(crate) fn expected_latency(&self) -> Ms {
        self.expected_latency
    }

    /// Records how it ended.
    pub(crate) fn end(&mut self, outcome: Outcome) {
        self.outcome = Some(outcome);
    }

    /// Whether it has not ended yet.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Whether it ended with a broken connection.
    pub(crate) fn lost_connection(&self) -> bool {
        self.outcome == Some(Outcome::ConnectionLost)
    }

    /// Whether the part may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        !matches!(
            self.outcome,
            Some(Outcome::Overloaded | Outcome::Unreachable | Outcome::NotSent)
        )
    }
}
