//! Grants time slices to the tasks of connections, one at a time.
//!
//! [`FairScheduler`] owns the queue of the waiting tasks and the time that connections have used in
//! the present round. A task is granted a slice at once if it would be the next one and the round
//! has time left.

use super::ROUND_TIME;
use super::account::{Account, Usage};
use super::current_slice::{CurrentSlice, RunningSlice};
use super::run_queue::{RunQueue, WaitId};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::task::Waker;
use std::time::{Duration, Instant};

/// Whether a task waits for a slice.
enum TaskState {
    /// The task does not ask for a slice.
    Idle,
    /// The task waits in the queue, and is woken when it is granted a slice.
    Waiting(WaitId, Waker),
    /// The task was granted a slice, which it has not begun. It has waited since this time.
    Granted(Instant),
}

/// What the scheduler keeps for one task.
pub(super) struct ScheduledTask {
    state: RefCell<TaskState>,
    account: Cell<Account>,
}

impl ScheduledTask {
    /// Creates the state of a new task.
    pub(super) fn new(now: Instant) -> Rc<Self> {
        Rc::new(ScheduledTask {
            state: RefCell::new(TaskState::Idle),
            account: Cell::new(Account::new(now)),
        })
    }
}

/// A time slice that has begun.
pub(super) struct Slice {
    usage: Usage,
    started_at: Instant,
}

/// The scheduler of connections' tasks.
#[derive(Default)]
pub(super) struct FairScheduler {
    queue: RefCell<RunQueue<Rc<ScheduledTask>>>,
    /// Whether a waiting task was granted a slice that it has not begun.
    is_granted: Cell<bool>,
    /// Time that connections have used in this round.
    used: Cell<Duration>,
    current: CurrentSlice,
}

impl FairScheduler {
    /// Returns the slice that runs.
    pub(super) fn current_slice(&self) -> CurrentSlice {
        self.current.clone()
    }

    /// Starts a round: grants the first waiting task a slice. Returns whether there is one that has
    /// not begun its slice.
    pub(super) fn start_round(&self) -> bool {
        self.used.set(Duration::ZERO);
        self.grant_next();
        self.is_granted.get()
    }

    /// Begins a slice of `task`, if it was granted one or can be granted one at once. Otherwise the
    /// task waits, and `waker` is woken once it is granted one.
    pub(super) fn try_begin(&self, task: &Rc<ScheduledTask>, waker: &Waker) -> Option<Slice> {
        let now = Instant::now();
        let usage = task.account.get().usage(now);
        let mut state = task.state.borrow_mut();
        let ready_since = match &mut *state {
            TaskState::Waiting(_, stored) => {
                stored.clone_from(waker);
                return None;
            }
            TaskState::Granted(since) => {
                self.is_granted.set(false);
                *since
            }
            TaskState::Idle if self.can_grant_at_once(usage) => now,
            TaskState::Idle => {
                let id = self.queue.borrow_mut().push(usage, now, task.clone());
                *state = TaskState::Waiting(id, waker.clone());
                return None;
            }
        };
        *state = TaskState::Idle;
        self.current.begin(RunningSlice {
            ready_since,
            started_at: now,
            received: Duration::ZERO,
        });
        Some(Slice {
            usage,
            started_at: now,
        })
    }

    /// Ends a slice, charges its time to the task and, if the round has time left, grants the next
    /// one.
    pub(super) fn end(&self, task: &ScheduledTask, slice: &Slice) {
        let now = Instant::now();
        let used = now - slice.started_at;
        let mut account = task.account.get();
        account.charge(now, used + self.current.end());
        task.account.set(account);
        self.used.set(self.used.get() + used);
        self.queue.borrow_mut().on_used(slice.usage, used);
        self.grant_next();
    }

    /// Removes a task that has ended. A slice that it was granted goes to the next task.
    pub(super) fn remove(&self, task: &ScheduledTask) {
        match task.state.replace(TaskState::Idle) {
            TaskState::Idle => {}
            TaskState::Waiting(id, _) => self.queue.borrow_mut().remove(id),
            TaskState::Granted(_) => {
                self.is_granted.set(false);
                self.grant_next();
            }
        }
    }

    /// Returns whether another slice can be granted in this round.
    fn has_time_left(&self) -> bool {
        self.used.get() < ROUND_TIME
    }

    fn can_grant_at_once(&self, usage: Usage) -> bool {
        let is_next = self.queue.borrow().is_next(usage);
        let is_free = usage == Usage::Light || !self.is_granted.get();
        is_next && is_free && self.has_time_left()
    }

    /// Grants a slice to the first waiting task, if the round has time left and no granted slice has
    /// yet to begin.
    fn grant_next(&self) {
        if self.is_granted.get() || !self.has_time_left() {
            return;
        }
        let Some(granted) = self.queue.borrow_mut().pop() else {
            return;
        };
        self.is_granted.set(true);
        let state = TaskState::Granted(granted.since);
        if let TaskState::Waiting(_, waker) = granted.task.state.replace(state) {
            waker.wake();
        }
    }
}
