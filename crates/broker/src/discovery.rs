//! The watch of the endpoint list at the discovery service. It continues the cached list of the
//! configuration.
//!
//! [`DiscoveryWatch`] owns the one task of the watch and ends it when it is dropped or moves to
//! another address. The task owns the connection and the revision of the current list; the list
//! itself goes to the event loop with each update.
//!
//! - `watcher`: the task, which polls and continues after errors;
//! - `client`: one connection, its time limits and the check that a list continues the current one;
//! - `backoff`: the delays between attempts that fail.

mod backoff;
mod client;
mod error;
mod watcher;

use crate::event_queue::EventQueue;
use async_executor::{LocalExecutor, Task};
use backoff::Backoff;
use fastrand::Rng;
use std::net::SocketAddr;
use std::rc::Rc;
use watcher::Watcher;

/// The one watch of the endpoint list. It queues an event for each update.
pub struct DiscoveryWatch {
    executor: Rc<LocalExecutor<'static>>,
    event_queue: Rc<EventQueue>,
    rng: Rng,
    /// The task of the watch, once it has started. Dropping it closes the connection.
    task: Option<Task<()>>,
}

impl DiscoveryWatch {
    /// Returns a watch that has not started. `seed` determines the jitter of the backoff.
    #[must_use]
    pub fn new(
        executor: Rc<LocalExecutor<'static>>,
        event_queue: Rc<EventQueue>,
        seed: u64,
    ) -> Self {
        DiscoveryWatch {
            executor,
            event_queue,
            rng: Rng::with_seed(seed),
            task: None,
        }
    }

    /// Starts to watch at this address, for changes since a revision.
    pub fn continue_from(&mut self, address: SocketAddr, revision: u64) {
        self.start(address, Some(revision));
    }

    /// Watches at another address. The revisions of the two services need not be comparable, so the
    /// full list is requested first.
    pub fn move_to(&mut self, address: SocketAddr) {
        self.start(address, None);
    }

    /// Replaces the task by one that requests the changes since `revision`, or the full list.
    fn start(&mut self, address: SocketAddr, revision: Option<u64>) {
        let backoff = Backoff::new(self.rng.fork());
        let watcher = Watcher::new(address, revision, self.event_queue.clone(), backoff);
        self.task = Some(self.executor.spawn(watcher.run()));
    }
}
