//! How long a connection may be silent, idle or stalled.
//!
//! A connection is silent while it receives nothing although an attempt is in flight, idle while no
//! attempt is in flight, and stalled while an incomplete frame does not grow.

use broker_types::limits::PoolLimits;
use std::time::Duration;

/// Maximum silence of a connection, in multiples of the dial timeout. If an attempt is cancelled or
/// times out at least this time after its assignment, and its connection has received nothing since
/// the assignment, the connection is used for no further attempts. A severed link leaves
/// connections open and silent, and TCP does not detect this.
const MAX_SILENCE_DIAL_TIMEOUTS: u32 = 2;

/// Maximum idle time of a connection, as a percentage of the servers' idle timeout. The broker
/// closes idle connections before the servers do: an attempt that is sent while the server closes
/// the connection ends with a connection reset, which does not show whether the part ran.
const MAX_IDLE_PERCENT: u32 = 75;

/// The time limits that apply to every connection.
pub(super) struct ConnectionTimeouts {
    /// Maximum time for establishing a connection.
    dial: Duration,
    /// Time after which a server closes an idle connection.
    server_idle: Duration,
}

impl ConnectionTimeouts {
    /// Creates the time limits from the limits of the pool.
    pub(super) fn new(limits: &PoolLimits) -> Self {
        ConnectionTimeouts {
            dial: limits.dial_timeout,
            server_idle: limits.idle_timeout,
        }
    }

    /// Returns the time without use after which an idle connection is closed.
    pub(super) fn max_idle(&self) -> Duration {
        self.server_idle.saturating_mul(MAX_IDLE_PERCENT) / 100
    }

    /// Returns the maximum time for which an incomplete frame may stop growing.
    pub(super) fn max_stall(&self) -> Duration {
        self.dial
    }

    /// Returns the maximum silence of a connection. If an attempt is cancelled or times out after a
    /// silence of at least this time, the connection is used for no further attempts.
    pub(super) fn max_silence(&self) -> Duration {
        self.dial.saturating_mul(MAX_SILENCE_DIAL_TIMEOUTS)
    }
}
