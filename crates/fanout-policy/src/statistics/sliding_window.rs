//! Counts of events within a sliding window.

use crate::api::Ms;
use std::collections::VecDeque;

/// The times of past events, in order.
#[derive(Clone, Default)]
pub(crate) struct SlidingWindow(VecDeque<Ms>);

impl SlidingWindow {
    /// Adds an event at this time, which must not be before the last one.
    pub(crate) fn record(&mut self, time: Ms) {
        self.0.push_back(time);
    }

    /// Removes the events before `start`.
    pub(crate) fn discard_before(&mut self, start: Ms) {
        while self.0.front().is_some_and(|time| *time < start) {
            self.0.pop_front();
        }
    }

    /// Number of events held.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Number of the events at or after `start`.
    pub(crate) fn count_since(&self, start: Ms) -> usize {
        self.0
            .iter()
            .rev()
            .take_while(|time| **time >= start)
            .count()
    }
}
