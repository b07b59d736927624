//! A future that is polled only in time slices that the [`FairScheduler`] grants.

use super::fair_scheduler::{FairScheduler, ScheduledTask};
use std::future::poll_fn;
use std::pin::pin;
use std::rc::Rc;
use std::task::Poll;
use std::time::Instant;

/// Registration of a task with the scheduler, until dropped.
struct Registration {
    scheduler: Rc<FairScheduler>,
    task: Rc<ScheduledTask>,
}

impl Drop for Registration {
    fn drop(&mut self) {
        self.scheduler.remove(&self.task);
    }
}

/// Runs `future` in time slices of `scheduler`. Each poll of `future` is one slice.
pub(super) async fn run(scheduler: Rc<FairScheduler>, future: impl Future<Output = ()>) {
    let registration = Registration {
        scheduler,
        task: ScheduledTask::new(Instant::now()),
    };
    let Registration { scheduler, task } = &registration;
    let mut future = pin!(future);
    poll_fn(|cx| {
        let Some(slice) = scheduler.try_begin(task, cx.waker()) else {
            return Poll::Pending;
        };
        let progress = future.as_mut().poll(cx);
        scheduler.end(task, &slice);
        progress
    })
    .await;
}
