//! The watch of the endpoint list at the discovery service. The platform's configuration contains a
//! cached endpoint list, so at the start of the program the watch requests only the changes since
//! the revision of that list.
//!
//! [`DiscoveryWatch`] owns the one task of the watch. It ends the task when it is dropped or when
//! it is moved to another address. The task owns the connection to discovery and the revision of
//! the current list. It does not store the list: each update is queued for the event loop.
//!
//! - `watcher`: the task, which polls discovery and reconnects after an error;
//! - `client`: one connection, its time limits, and the check that a received list can be applied
//!   to the current one;
//! - `backoff`: the delays after errors;
//! - `error`: the errors of the watch.

mod backoff;
mod client;
mod error;
mod watcher;

use crate::event_queue::EventQueue;
use crate::executor::Executor;
use async_executor::Task;
use backoff::Backoff;
use fastrand::Rng;
use std::net::SocketAddr;
use std::rc::Rc;
use watcher::Watcher;

/// The watch of the endpoint list at one address. It queues an event for each update of the list.
pub struct DiscoveryWatch {
    executor: Rc<Executor>,
    event_queue: Rc<EventQueue>,
    rng: Rng,
    /// The task of the watch, once it has started. Dropping it closes the connection.
    task: Option<Task<()>>,
}

impl DiscoveryWatch {
    /// Creates a watch that has not been started. `seed` determines the jitter of the backoff.
    #[must_use]
    pub fn new(executor: Rc<Executor>, event_queue: Rc<EventQueue>, seed: u64) -> Self {
        DiscoveryWatch {
            executor,
            event_queue,
            rng: Rng::with_seed(seed),
            task: None,
        }
    }

    /// Starts to watch the list at `address` by requesting the changes since `revision`. If a watch
    /// is running, it is replaced.
    pub fn continue_from(&mut self, address: SocketAddr, revision: u64) {
        self.start(address, Some(revision));
    }

    /// Ends the running watch, if any, and watches the list at `address`. The full list is
    /// requested first, because a revision of the previous discovery service may have no meaning at
    /// the new one.
    pub fn move_to(&mut self, address: SocketAddr) {
        self.start(address, None);
    }

    /// Replaces the task by one that first requests the changes since `revision`, or the full list
    /// if `revision` is `None`.
    fn start(&mut self, address: SocketAddr, revision: Option<u64>) {
        let backoff = Backoff::new(self.rng.fork());
        let watcher = Watcher::new(address, revision, self.event_queue.clone(), backoff);
        self.task = Some(self.executor.spawn(watcher.run()));
    }
}
