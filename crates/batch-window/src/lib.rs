//! The batch window: how long the broker gathers events before it processes them as a batch.
//!
//! Parts that are dispatched to one server in one batch share a call, and each call costs the
//! server work in addition to the work of its parts. A busy broker therefore gathers events for
//! some time before it runs the policy. An idle broker gains nothing by waiting, because there is
//! no other query with which a call could be shared. The length of the window therefore depends on
//! the number of queries in flight: a single query is processed immediately, and each additional
//! query lengthens the window up to its maximum.
//!
//! The window does not depend on the arrival rate: if it did, it would oscillate. A client that
//! sends one query after another raises the arrival rate if its queries are processed immediately.
//! The higher rate would lengthen the window, so that the client has to wait and the rate falls,
//! which would shorten the window again.
//!
//! ```
//! use batch_window::BatchWindow;
//! use std::time::Duration;
//!
//! let window = BatchWindow::Adaptive(Duration::from_millis(8));
//! assert_eq!(window.duration(1), Duration::ZERO);
//! assert_eq!(window.duration(3), Duration::from_millis(2));
//! assert_eq!(window.duration(500), Duration::from_millis(8));
//! ```

use broker_types::time::Timestamp;
use std::time::Duration;

/// Number of queries in flight, not counting the first one, from which on the adaptive window has
/// its maximum length.
const QUERIES_FOR_FULL_WINDOW: u32 = 8;

/// The minimum time between the starts of two batches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchWindow {
    /// A constant time, independent of the number of queries in flight.
    Fixed(Duration),
    /// A time that grows with the number of queries in flight, from zero for a single query up to
    /// this maximum.
    Adaptive(Duration),
}

impl BatchWindow {
    /// Returns the minimum time between the starts of two batches. `queries_in_flight` includes the
    /// queries that wait for the next batch.
    #[must_use]
    pub fn duration(self, queries_in_flight: usize) -> Duration {
        match self {
            BatchWindow::Fixed(duration) => duration,
            BatchWindow::Adaptive(max_duration) => {
                let other_queries = queries_in_flight.saturating_sub(1);
                let other_queries = u32::try_from(other_queries).unwrap_or(u32::MAX);
                let counted_queries = other_queries.min(QUERIES_FOR_FULL_WINDOW);
                max_duration.saturating_mul(counted_queries) / QUERIES_FOR_FULL_WINDOW
            }
        }
    }

    /// Returns the maximum of [`BatchWindow::duration`] over all numbers of queries in flight.
    #[must_use]
    pub fn max_duration(self) -> Duration {
        match self {
            BatchWindow::Fixed(max_duration) | BatchWindow::Adaptive(max_duration) => max_duration,
        }
    }

    /// Returns the earliest start of the next batch if the previous batch started at `last_start`.
    #[must_use]
    pub fn next_start(self, last_start: Timestamp, queries_in_flight: usize) -> Timestamp {
        last_start + self.duration(queries_in_flight)
    }
}
