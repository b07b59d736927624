//! What all tasks of the broker share: the executor that runs them, the event queue and the clock.

use crate::clock::Clock;
use crate::event_queue::{Event, EventQueue};
use async_executor::LocalExecutor;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::rc::Rc;

/// What all tasks of the broker share.
pub(super) struct Runtime {
    executor: Rc<LocalExecutor<'static>>,
    event_queue: Rc<EventQueue>,
    clock: Clock,
}

impl Runtime {
    /// Returns a runtime without tasks, whose clock starts now.
    pub(super) fn start() -> Self {
        Runtime {
            executor: Rc::new(LocalExecutor::new()),
            event_queue: Rc::new(EventQueue::default()),
            clock: Clock::start(),
        }
    }

    /// Returns the executor of the one thread.
    pub(super) fn executor(&self) -> Rc<LocalExecutor<'static>> {
        self.executor.clone()
    }

    /// Returns the queue of the event loop.
    pub(super) fn event_queue(&self) -> Rc<EventQueue> {
        self.event_queue.clone()
    }

    /// Returns the program's clock.
    pub(super) fn clock(&self) -> Clock {
        self.clock
    }

    /// Starts a task that queues an event for each signal.
    pub(super) fn spawn_signal_handler(&self, mut signals: Signals) {
        let event_queue = self.event_queue();
        let handle_signals = async move {
            while let Some(signal) = signals.next().await {
                event_queue.push(match signal {
                    Ok(Signal::Hup) => Event::ReloadRequested,
                    _ => Event::ShutdownRequested,
                });
            }
        };
        self.executor.spawn(handle_signals).detach();
    }

    /// Runs all tasks until a future is complete.
    pub(super) fn block_on(&self, future: impl Future<Output = ()>) {
        async_io::block_on(self.executor.run(future));
    }
}
