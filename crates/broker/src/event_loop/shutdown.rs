//! The graceful shutdown: the times at which the listeners are closed and at which the program may
//! end. [`GracefulShutdown`] owns the time at which the shutdown started.

use crate::listeners::ClientListeners;
use broker_types::time::Timestamp;
use std::time::Duration;
use tracing::info;

/// Time for which connections are still accepted after the start of a shutdown. Clients notice only
/// after a delay that the broker is no longer ready, and connect to it until then.
const ACCEPT_TIME: Duration = Duration::from_millis(600);

/// Whether the shutdown is complete, so that the program may end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ShutdownProgress {
    /// The shutdown has not started, the listeners still accept connections, a connection is open
    /// or a query is in flight.
    Running,
    /// The listeners are closed, no connection is open and no query is in flight.
    Complete,
}

/// The graceful shutdown of the broker, which starts at most once.
#[derive(Debug, Default)]
pub(super) struct GracefulShutdown {
    /// Time at which the shutdown started; `None` before.
    started_at: Option<Timestamp>,
}

impl GracefulShutdown {
    /// Starts the shutdown: the listeners begin to drain. Does nothing if the shutdown has already
    /// started.
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

    /// Closes the listeners if [`ACCEPT_TIME`] has passed since the start of the shutdown. Returns
    /// whether the shutdown is complete.
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

    /// Returns the time at which [`GracefulShutdown::advance`] must be called next, or `None`
    /// before the start of the shutdown. Before the listeners are closed, this is the time to close
    /// them. Once they are closed, it is one `tick` after `now`: no event reports that the last
    /// connection was closed, so this must be checked at regular intervals.
    ///
    /// [`GracefulShutdown::advance`] must have been called for `now` before.
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

    /// Returns the time at which the listeners must be closed, or `None` before the start of the
    /// shutdown.
    fn accepts_until(&self) -> Option<Timestamp> {
        self.started_at.map(|start| start + ACCEPT_TIME)
    }
}
