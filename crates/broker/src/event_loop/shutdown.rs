//! Graceful shutdown.

use super::EventLoop;
use broker_types::time::Timestamp;
use std::time::Duration;
use tracing::info;

/// Time for which connections are still accepted after the start of a shutdown: clients notice late that the broker is
/// no longer ready.
const ACCEPT_TIME: Duration = Duration::from_millis(600);

impl EventLoop {
    /// Starts the graceful shutdown, unless it has started before.
    pub(super) fn start_shutdown(&mut self, now: Timestamp) {
        if self.shutdown_started_at.is_none() {
            info!(name: "shutdown_started", queries_in_flight = self.queries.len());
            self.shutdown_started_at = Some(now);
            self.listeners.start_draining();
        }
    }

    /// Closes the listeners once the time for new connections is over. Returns whether the shutdown is complete: no
    /// connection is open and no query is in flight.
    pub(super) async fn continue_shutdown(&mut self, now: Timestamp) -> bool {
        if self.accepts_until().is_none_or(|end| now < end) {
            return false;
        }
        self.listeners.close().await;
        self.listeners.open_connections() == 0 && self.queries.is_empty()
    }

    /// Returns when the next step of the shutdown is due.
    pub(super) fn shutdown_deadline(&self, now: Timestamp) -> Option<Timestamp> {
        if self.listeners.is_closed() {
            return Some(now + self.tick);
        }
        self.accepts_until().filter(|end| now < *end)
    }

    /// Returns when the listeners are to be closed, once the shutdown has started.
    fn accepts_until(&self) -> Option<Timestamp> {
        self.shutdown_started_at.map(|start| start + ACCEPT_TIME)
    }
}
