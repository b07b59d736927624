//! Graceful shutdown: when the listeners are closed and when the program may end.
//! [`GracefulShutdown`] owns the time at which it started.

use crate::listeners::ClientListeners;
use broker_types::time::Timestamp;
use std::time::Duration;
use tracing::info;

/// Time for which connections are still accepted after the start of a shutdown: clients notice late
/// that the broker is no longer ready.
const ACCEPT_TIME: Duration = Duration::from_millis(600);

/// Whether the broker may stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShutdownProgress {
    /// The broker serves queries, or has connections or queries left.
    Running,
    /// No connection is open and no query is in flight.
    Complete,
}

/// The graceful shutdown of the broker.
#[derive(Debug, Default)]
pub(super) struct GracefulShutdown {
    started_at: Option<Timestamp>,
}

impl GracefulShutdown {
    /// Starts the shutdown, unless it has started before.
    pub(super) fn start(
        &mut self,
        now: Timestamp,
        listeners: &ClientListeners,
        queries_in_flight: usize,
    ) {
        if self.started_at.is_none() {
            info!(name: "shutdown_started", queries_in_flight);
            self.started_at = Some(now);
            listeners.start_draining();
        }
    }

    /// Closes the listeners once the time for new connections is over.
    pub(super) async fn advance(
        &mut self,
        now: Timestamp,
        listeners: &mut ClientListeners,
        queries_in_flight: usize,
    ) -> ShutdownProgress {
        if self.accepts_until().is_none_or(|end| now < end) {
            return ShutdownProgress::Running;
        }
        listeners.close().await;
        if listeners.open_connections() == 0 && queries_in_flight == 0 {
            ShutdownProgress::Complete
        } else {
            ShutdownProgress::Running
        }
    }

    /// Returns when the next step is due. Once the listeners are closed, that is after each `tick`.
    pub(super) fn next_deadline(
        &self,
        now: Timestamp,
        listeners: &ClientListeners,
        tick: Duration,
    ) -> Option<Timestamp> {
        if listeners.is_closed() {
            return Some(now + tick);
        }
        self.accepts_until().filter(|end| now < *end)
    }

    /// Returns when the listeners are to be closed, once the shutdown has started.
    fn accepts_until(&self) -> Option<Timestamp> {
        self.started_at.map(|start| start + ACCEPT_TIME)
    }
}
