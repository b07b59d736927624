//! Runs all tasks of the broker on one thread, and shares the thread's time out among clients'
//! connections.
//!
//! There are two kinds of tasks. Those of the broker itself, such as the one that accepts
//! connections and those of the connections to data servers, run as soon as they are woken. The
//! tasks of clients' connections are scheduled fairly: a task runs when it is granted a time slice,
//! and connections that have used little time come before those that have used much (`account`,
//! `run_queue`). A client whose requests take long to read or to decode therefore delays its own
//! next request, and not those of other clients.
//!
//! The executor works in rounds. In a round, connections use the thread for a limited time, the
//! tasks of the broker run, and then the event loop and the readiness of all sockets are polled.

mod account;
mod current_slice;
mod fair_scheduler;
mod run_queue;
mod scheduled_task;

pub use current_slice::CurrentSlice;

use async_executor::{LocalExecutor, Task};
use fair_scheduler::FairScheduler;
use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use std::rc::Rc;
use std::time::Duration;

/// Time after which a task that has more work should yield. A slice that has begun is not
/// interrupted, so it may last longer.
const TIME_SLICE: Duration = Duration::from_micros(500);
/// Time for which all connections use the thread in a round.
const ROUND_TIME: Duration = Duration::from_millis(1);
/// Maximum number of times that tasks run in a round.
const MAX_RUNS_PER_ROUND: usize = 200;

/// The executor of all tasks.
#[derive(Default)]
pub struct Executor {
    tasks: LocalExecutor<'static>,
    scheduler: Rc<FairScheduler>,
}

impl Executor {
    /// Starts a task of the broker. Dropping the returned handle cancels it.
    pub fn spawn<T: 'static>(&self, future: impl Future<Output = T> + 'static) -> Task<T> {
        self.tasks.spawn(future)
    }

    /// Starts a task that serves a client's connection until its end.
    pub fn spawn_connection(&self, future: impl Future<Output = ()> + 'static) {
        let task = scheduled_task::run(self.scheduler.clone(), future);
        self.tasks.spawn(task).detach();
    }

    /// Returns the time slice of whichever connection's task runs.
    pub fn current_slice(&self) -> CurrentSlice {
        self.scheduler.current_slice()
    }

    /// Runs `future` and all tasks until `future` is complete.
    pub async fn run<T>(&self, future: impl Future<Output = T>) -> T {
        let rounds = async {
            loop {
                self.run_round().await;
            }
        };
        future.or(rounds).await
    }

    /// Waits until a task can run, and runs the tasks of a round.
    async fn run_round(&self) {
        self.tasks.tick().await;
        let mut runs = 1;
        while runs < MAX_RUNS_PER_ROUND && self.tasks.try_tick() {
            runs += 1;
        }
        let is_connection_waiting = self.scheduler.start_round();
        if is_connection_waiting || runs == MAX_RUNS_PER_ROUND {
            // Lets the event loop and the sockets be polled.
            yield_now().await;
        }
    }
}

#[cfg(test)]
mod tests;
