//! The task that watches the endpoint list at one address.

use super::backoff::{Backoff, MIN_DELAY};
use super::client::{DiscoveryClient, POLL_WAIT};
use super::error::DiscoveryError;
use crate::event_queue::{Event, EventQueue};
use async_io::Timer;
use broker_types::server::EndpointList;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use tracing::warn;

/// The state of the task that watches the endpoint list at one address.
pub(super) struct Watcher {
    address: SocketAddr,
    /// Revision of the current list; `None` if the full list must be requested.
    revision: Option<u64>,
    event_queue: Rc<EventQueue>,
    backoff: Backoff,
}

impl Watcher {
    /// Creates a watcher that first requests the changes since `revision`, or the full list if
    /// `revision` is `None`.
    pub(super) fn new(
        address: SocketAddr,
        revision: Option<u64>,
        event_queue: Rc<EventQueue>,
        backoff: Backoff,
    ) -> Self {
        Watcher {
            address,
            revision,
            event_queue,
            backoff,
        }
    }

    /// Watches the list until the future is dropped. After an error, the current list stays in
    /// effect, and the watch continues on a new connection after a backoff delay.
    pub(super) async fn run(mut self) {
        loop {
            // Discovery may close a connection after a complete response. This is no error, and
            // the next connection is opened without a delay.
            if let Err(error) = self.watch_connection().await {
                warn!(name: "discovery_watch_failed", error = %error);
                if error.requires_snapshot() {
                    self.revision = None;
                }
                Timer::after(self.backoff.next_delay()).await;
            }
        }
    }

    /// Opens a connection and polls on it until discovery closes it.
    async fn watch_connection(&mut self) -> Result<(), DiscoveryError> {
        let mut client = DiscoveryClient::connect(self.address).await?;
        while client.is_reusable() {
            let started_at = Instant::now();
            let list = client.fetch(self.revision).await?;
            let is_unchanged = self.revision == Some(list.revision);
            self.on_list(list).await;
            if is_unchanged && started_at.elapsed() < POLL_WAIT / 2 {
                // Discovery has responded after less than half of the requested wait, although the
                // list has not changed. If it always does so, polling without a pause would use all
                // the time of the core.
                Timer::after(MIN_DELAY).await;
            }
        }
        Ok(())
    }

    /// Stores the revision of a received list and resets the backoff. Queues an event for the list
    /// if it is a full list or holds at least one change, and then waits until the event loop has
    /// taken it, so that the queue holds at most one list.
    async fn on_list(&mut self, list: EndpointList) {
        self.revision = Some(list.revision);
        self.backoff.reset();
        if list.is_snapshot || !list.endpoints.is_empty() {
            self.event_queue
                .push_and_wait(Event::EndpointsUpdated(list))
                .await;
        }
    }
}

#[cfg(test)]
mod tests;
