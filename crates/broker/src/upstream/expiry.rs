//! Closing of connections that are idle, drained or stalled, and the next time at which anything is due.

use super::ServerPools;
use super::connection::{PooledConnection, ServerConnectionId};
use super::events::ProtocolViolation;
use broker_types::time::Micros;

/// Percentage of the servers' idle timeout after which an idle connection is closed on this side. An attempt that
/// crosses the server's closing ends as a reset, which leaves open whether it ran. 75 is the project's own choice.
const IDLE_LIMIT_PERCENT: Micros = 75;

impl ServerPools {
    /// Closes connections that are idle for too long, that are draining and idle, or on which an incomplete frame
    /// has made no progress for too long.
    pub fn close_expired_connections(&mut self, now: Micros) {
        let max_idle = self.limits.idle_timeout * IDLE_LIMIT_PERCENT / 100;
        for id in self.connections_where(|c| c.is_expired(now, max_idle)) {
            self.close_connection(id);
        }
        let stall_timeout = self.limits.dial_timeout;
        for id in self.connections_where(|c| c.is_stalled(now, stall_timeout)) {
            self.fail_connection(now, id, &ProtocolViolation::IncompleteFrame);
        }
    }

    /// The connections that meet a condition.
    fn connections_where(
        &self,
        condition: impl Fn(&PooledConnection) -> bool,
    ) -> Vec<ServerConnectionId> {
        let matching = self.connections.iter().filter(|(_, c)| condition(c));
        matching.map(|(id, _)| *id).collect()
    }

    /// The next time at which an attempt is due or an incomplete frame is overdue; [`Micros::MAX`] if there is
    /// neither.
    #[must_use]
    pub fn next_deadline(&self) -> Micros {
        let stall_timeout = self.limits.dial_timeout;
        let connections = self.connections.values();
        let next_stall = connections.filter_map(|c| c.stalls_at(stall_timeout)).min();
        let next_check = self.in_flight.next_check();
        let deadlines = [next_check, next_stall];
        deadlines.into_iter().flatten().min().unwrap_or(Micros::MAX)
    }
}
