//! The objects that all tasks of the broker share: the executor that runs them, the event queue and
//! the clock.

use crate::clock::Clock;
use crate::event_queue::{Event, EventQueue};
use crate::executor::Executor;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;
use std::rc::Rc;

/// The executor, the event queue and the clock of the broker.
pub(super) struct Runtime {
    executor: Rc<Executor>,
    event_queue: Rc<EventQueue>,
    clock: Clock,
}

impl Runtime {
    /// Creates a runtime without tasks and starts its clock.
    pub(super) fn start() -> Self {
        Runtime {
            executor: Rc::new(Executor::default()),
            event_queue: Rc::new(EventQueue::default()),
            clock: Clock::start(),
        }
    }

    /// Returns the executor, which runs all tasks on one thread.
    pub(super) fn executor(&self) -> Rc<Executor> {
        self.executor.clone()
    }

    /// Returns the event queue, which the event loop drains.
    pub(super) fn event_queue(&self) -> Rc<EventQueue> {
        self.event_queue.clone()
    }

    /// Returns the program's clock.
    pub(super) fn clock(&self) -> Clock {
        self.clock
    }

    /// Starts a task that queues an event for each signal: a reload for SIGHUP, and the shutdown
    /// for any other signal and if receiving a signal fails.
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

    /// Runs `future` and all tasks of the executor until `future` is complete.
    pub(super) fn block_on(&self, future: impl Future<Output = ()>) {
        async_io::block_on(self.executor.run(future));
    }
}
