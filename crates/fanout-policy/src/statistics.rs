//! Moving averages, and counts of events within sliding windows.

mod average;
mod sliding_window;

pub(crate) use average::{decay, smooth};
pub(crate) use sliding_window::SlidingWindow;
