//! Why the broker stops waiting for the response to an attempt, and what follows for its connection.

use broker_types::server::Outcome;

/// Why the broker stops waiting for the response to an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum StopReason {
    /// The attempt was cancelled.
    Cancelled,
    /// The attempt's deadline has been reached.
    TimedOut,
}

impl From<StopReason> for Outcome {
    /// Returns the outcome of an attempt of which at least one byte was written.
    fn from(reason: StopReason) -> Self {
        match reason {
            StopReason::Cancelled => Outcome::Cancelled,
            StopReason::TimedOut => Outcome::TimedOut,
        }
    }
}

/// Result of [`ServerConnection::stop_waiting`]: the outcome of the attempt, and whether its
/// connection must be closed.
pub(super) enum StopResult {
    /// The attempt ends with this outcome. The connection stays open.
    KeepConnection(Outcome),
    /// The attempt ends with this outcome. Afterwards the connection must be closed, because its
    /// socket accepts no data. If the attempt was sent, its cancellation would not reach the
    /// server, and a further attempt at the same part could run at the same time as this one. If
    /// the further attempt was assigned to this connection, the blocked socket would hold it up.
    CloseConnection(Outcome),
}
