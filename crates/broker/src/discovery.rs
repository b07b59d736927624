//! The watch of the endpoint list at the discovery service. It continues the cached list of the configuration.

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
    /// The task of the watch. Dropping it closes the connection.
    _task: Task<()>,
}

impl DiscoveryWatch {
    /// Starts to watch at this address, for changes since `revision`. `seed` determines the jitter of the backoff.
    pub fn start(
        executor: Rc<LocalExecutor<'static>>,
        event_queue: Rc<EventQueue>,
        address: SocketAddr,
        revision: u64,
        seed: u64,
    ) -> Self {
        let mut rng = Rng::with_seed(seed);
        let backoff = Backoff::new(rng.fork());
        let watcher = Watcher::new(address, Some(revision), event_queue.clone(), backoff);
        DiscoveryWatch {
            _task: executor.spawn(watcher.run()),
            executor,
            event_queue,
            rng,
        }
    }

    /// Watches at another address. The revisions of the two services need not be comparable, so the full list is
    /// requested first.
    pub fn move_to(&mut self, address: SocketAddr) {
        let backoff = Backoff::new(self.rng.fork());
        let watcher = Watcher::new(address, None, self.event_queue.clone(), backoff);
        self._task = self.executor.spawn(watcher.run());
    }
}
