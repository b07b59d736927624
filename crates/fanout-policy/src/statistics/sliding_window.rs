//! Counts of events within a sliding window.

use crate::api::Ms;
use std::collections::VecDeque;

/// Times of the events within a sliding window, in ascending order.
#[derive(Clone, Default)]
pub(crate) struct SlidingWindow(VecDeque<Ms>);

impl SlidingWindow {
    /// Records an event at `time`, which must not be earlier than that of the previous event.
    pub(crate) fn record(&mut self, time: Ms) {
        self.0.push_back(time);
    }

    /// Removes the events that lie before `start`.
    pub(crate) fn discard_before(&mut self, start: Ms) {
        while self.0.front().is_some_and(|time| *time < start) {
            self.0.pop_front();
        }
    }

    /// Returns the number of events that have not been removed.
    pub(crate) fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns the number of events at or after `start` that have not been removed.
    pub(crate) fn count_since(&self, start: Ms) -> usize {
        self.0
            .iter()
            .rev()
            .take_while(|time| **time >= start)
            .count()
    }
}
