//! How long the broker gathers events before it processes them as a batch.
//!
//! Parts that are dispatched to one server in one batch share a call, and each call costs the
//! server work of its own. A busy broker therefore gathers for a while before it runs the policy.
//! An idle broker gains nothing by waiting: there is no other query to share a call with. The
//! window depends on the number of queries in flight: a single one is processed at once, and each
//! further one lengthens the window up to its limit.
//!
//! The window does not depend on the arrival rate. A client that sends one query after another
//! raises that rate as soon as it is served at once, and lowers it again as soon as it waits, so
//! that the window would oscillate.
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

/// Number of queries in flight, beside the first, from which on the window has its full length.
const QUERIES_FOR_FULL_WINDOW: u32 = 8;

/// The least time between the starts of two batches.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BatchWindow {
    /// The same time, however many queries are in flight.
    Fixed(Duration),
    /// From zero with one query in flight up to this time with many.
    Adaptive(Duration),
}

impl BatchWindow {
    /// The least time between the starts of two batches, with so many queries in flight. Queries
    /// that wait for the next batch count too.
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

    /// The longest [`BatchWindow::duration`].
    #[must_use]
    pub fn max_duration(self) -> Duration {
        match self {
            BatchWindow::Fixed(max_duration) | BatchWindow::Adaptive(max_duration) => max_duration,
        }
    }

    /// The earliest start of the next batch, where the last one started at `last_start`.
    #[must_use]
    pub fn next_start(self, last_start: Timestamp, queries_in_flight: usize) -> Timestamp {
        last_start + self.duration(queries_in_flight)
    }
}
