//! The time slice that runs. Code that serves a connection asks it when the connection's task became
//! ready and whether the task should yield, and reports what it has read.

use super::TIME_SLICE;
use futures_lite::future::yield_now;
use std::cell::Cell;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

/// Time that is charged for each received byte, in advance. A new connection that sends a long request
/// thereby counts as a heavy user after one read, before its request is decoded.
const TIME_PER_RECEIVED_BYTE: Duration = Duration::from_nanos(20);

/// A slice that runs.
#[derive(Clone, Copy)]
pub(super) struct RunningSlice {
    /// When the task asked for the slice.
    pub(super) ready_since: Instant,
    /// When the slice began.
    pub(super) started_at: Instant,
    /// Time to charge for received bytes.
    pub(super) received: Duration,
}

/// The slice of whichever connection's task runs. All clones show the same.
#[derive(Clone, Default)]
pub struct CurrentSlice(Rc<Cell<Option<RunningSlice>>>);

impl CurrentSlice {
    /// Sets the slice that runs.
    pub(super) fn begin(&self, slice: RunningSlice) {
        self.0.set(Some(slice));
    }

    /// Records that the slice has ended. Returns the time to charge for the bytes that were received
    /// in it.
    pub(super) fn end(&self) -> Duration {
        self.0.take().map_or(Duration::ZERO, |slice| slice.received)
    }

    /// Records that the task that runs has read bytes from its client.
    pub fn on_received(&self, bytes: usize) {
        if let Some(mut slice) = self.0.get() {
            let bytes = u32::try_from(bytes).unwrap_or(u32::MAX);
            slice.received += TIME_PER_RECEIVED_BYTE.saturating_mul(bytes);
            self.0.set(Some(slice));
        }
    }

    /// Returns when the task that runs became ready to run, or `None` if no connection's task runs.
    /// What it finds on its socket after it has waited for it arrived at this time.
    #[must_use]
    pub fn ready_since(&self) -> Option<Instant> {
        self.0.get().map(|slice| slice.ready_since)
    }

    /// Returns whether the task that runs has used its slice up and should yield.
    #[must_use]
    pub fn is_used_up(&self) -> bool {
        let slice = self.0.get();
        slice.is_some_and(|slice| slice.started_at.elapsed() >= TIME_SLICE)
    }

    /// Waits for another slice if the present one is used up.
    pub async fn yield_if_used_up(&self) {
        while self.is_used_up() {
            yield_now().await;
        }
    }

    /// The same as [`Self::yield_if_used_up`], in a poll: returns [`Poll::Pending`] and wakes the
    /// task if the slice is used up.
    pub fn poll_yield_if_used_up(&self, cx: &Context<'_>) -> Poll<()> {
        if self.is_used_up() {
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        Poll::Ready(())
    }
}
