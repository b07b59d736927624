//! How long connections may be silent, idle or stalled.

use broker_types::limits::PoolLimits;
use std::time::Duration;

/// Time without any sign of life on its connection after which an attempt that is cancelled or
/// times out makes the connection suspect, in multiples of the dial timeout. A severed link leaves
/// connections open and silent, and TCP does not notice.
const SILENT_DIAL_TIMEOUTS: u32 = 2;

/// Percentage of the servers' idle timeout after which an idle connection is closed on this side.
/// An attempt that crosses the server's closing ends as a reset, which leaves open whether it ran.
const IDLE_LIMIT_PERCENT: u32 = 75;

/// The time limits of all connections.
pub(super) struct ConnectionTimeouts {
    dial: Duration,
    /// Time after which a server closes an idle connection.
    server_idle: Duration,
}

impl ConnectionTimeouts {
    /// The time limits that follow from the settings.
    pub(super) fn new(limits: &PoolLimits) -> Self {
        ConnectionTimeouts {
            dial: limits.dial_timeout,
            server_idle: limits.idle_timeout,
        }
    }

    /// Time after which an idle connection is closed.
    pub(super) fn max_idle(&self) -> Duration {
        self.server_idle.saturating_mul(IDLE_LIMIT_PERCENT) / 100
    }

    /// Time within which an incomplete frame must grow.
    pub(super) fn stall(&self) -> Duration {
        self.dial
    }

    /// Time without any event after which a connection with an unanswered attempt is used for no
    /// other one.
    pub(super) fn silence(&self) -> Duration {
        self.dial.saturating_mul(SILENT_DIAL_TIMEOUTS)
    }
}
