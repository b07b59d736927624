//! The order in which waiting tasks are granted time slices.
//!
//! The tasks of light users come first, and heavy users share what is left. While both wait, light
//! users get [`LIGHT_SHARE`] times as much time as heavy ones, so that neither can hold up the other.
//! Among equals, the task that has waited longest is first.

use super::TIME_SLICE;
use super::account::Usage;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

/// Time that light users get for each unit of time that heavy ones get, while both wait.
const LIGHT_SHARE: u32 = 3;
/// Time that light users get until a heavy user that waits is granted a slice.
const LIGHT_TIME_PER_HEAVY_SLICE: Duration = TIME_SLICE.saturating_mul(LIGHT_SHARE);

/// Identifies the wait of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct WaitId {
    usage: Usage,
    number: u64,
}

/// A task that waits.
struct Waiting<T> {
    id: WaitId,
    since: Instant,
    task: T,
}

/// A task that has waited and is granted a slice.
#[derive(Debug, PartialEq, Eq)]
pub(super) struct Granted<T> {
    /// Since when the task has waited.
    pub(super) since: Instant,
    /// The task.
    pub(super) task: T,
}

/// The tasks that wait for a slice. There are at most as many as there are connections.
pub(super) struct RunQueue<T> {
    /// Light users; the one that has waited longest is first.
    light: VecDeque<Waiting<T>>,
    /// Heavy users; the one that has waited longest is first.
    heavy: VecDeque<Waiting<T>>,
    next_number: u64,
    /// Time that light users have used while a heavy user waited, less [`LIGHT_SHARE`] times the time
    /// that heavy users have used. At most [`LIGHT_TIME_PER_HEAVY_SLICE`].
    used_by_light: Duration,
}

impl<T> Default for RunQueue<T> {
    fn default() -> Self {
        RunQueue {
            light: VecDeque::new(),
            heavy: VecDeque::new(),
            next_number: 0,
            used_by_light: Duration::ZERO,
        }
    }
}

impl<T> RunQueue<T> {
    /// Returns whether the next slice goes to a task with this usage, if one asks for it that does
    /// not wait yet.
    pub(super) fn is_next(&self, usage: Usage) -> bool {
        match usage {
            Usage::Light => self.light.is_empty() && !self.is_turn_of_heavy(),
            Usage::Heavy => self.light.is_empty() && self.heavy.is_empty(),
        }
    }

    /// Returns the usage of the task that is granted the next slice, or `None` if no task waits.
    pub(super) fn next_usage(&self) -> Option<Usage> {
        if !self.light.is_empty() && !self.is_turn_of_heavy() {
            Some(Usage::Light)
        } else if !self.heavy.is_empty() {
            Some(Usage::Heavy)
        } else {
            None
        }
    }

    /// Adds a task that waits from `now` on.
    pub(super) fn push(&mut self, usage: Usage, now: Instant, task: T) -> WaitId {
        let id = WaitId {
            usage,
            number: self.next_number,
        };
        self.next_number += 1;
        let since = now;
        self.queue(usage).push_back(Waiting { id, since, task });
        id
    }

    /// Removes a task that no longer waits.
    pub(super) fn remove(&mut self, id: WaitId) {
        self.queue(id.usage).retain(|waiting| waiting.id != id);
    }

    /// Removes the task that is granted the next slice.
    pub(super) fn pop(&mut self) -> Option<Granted<T>> {
        let usage = self.next_usage()?;
        let Waiting { since, task, .. } = self.queue(usage).pop_front()?;
        Some(Granted { since, task })
    }

    /// Records that a task has used its slice for this time.
    pub(super) fn on_used(&mut self, usage: Usage, used: Duration) {
        match usage {
            Usage::Light if self.heavy.is_empty() => {}
            Usage::Light => {
                let used = self.used_by_light + used;
                self.used_by_light = used.min(LIGHT_TIME_PER_HEAVY_SLICE);
            }
            Usage::Heavy => {
                let used = used * LIGHT_SHARE;
                self.used_by_light = self.used_by_light.saturating_sub(used);
            }
        }
    }

    fn queue(&mut self, usage: Usage) -> &mut VecDeque<Waiting<T>> {
        match usage {
            Usage::Light => &mut self.light,
            Usage::Heavy => &mut self.heavy,
        }
    }

    /// Returns whether a heavy user waits and light users have used their share.
    fn is_turn_of_heavy(&self) -> bool {
        !self.heavy.is_empty() && self.used_by_light >= LIGHT_TIME_PER_HEAVY_SLICE
    }
}

#[cfg(test)]
mod tests;
