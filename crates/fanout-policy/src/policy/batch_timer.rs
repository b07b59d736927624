//! Timers of batches and control intervals, and detection of a pause of this aggregator.
//!
//! [`BatchTimer`] owns the time at which the batch timer should fire, [`ControlTimer`] the start of
//! the next control interval.

use super::batch_context::BatchContext;
use crate::api::Ms;

/// Control interval: time between two runs of the control loops, in ms.
pub(crate) const CONTROL_INTERVAL_MS: Ms = 1000.0;
/// Delay of a batch after the time at which the timer should have fired, above which this
/// aggregator is assumed to have been paused before the batch. In multiples of the shortest latency
/// objective. Timeouts that are reported in such a batch are not attributed to the servers.
const MIN_PAUSE_OBJECTIVES: f64 = 0.05;
/// Number of ticks for which the timer is set while no query is in flight.
const IDLE_INTERVAL_TICKS: f64 = 50.0;
/// Number of ticks for which the timer is set while queries are in flight.
const BUSY_INTERVAL_TICKS: f64 = 1.0;
/// Minimum length of a tick, in ms.
const MIN_TICK_MS: Ms = 1.0;

/// Whether this aggregator was paused before the current batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BatchTiming {
    /// The batch started before the time at which the timer should fire, or only slightly later.
    OnTime,
    /// The batch started so late that this aggregator itself must have been paused. The times
    /// measured for attempts then include the pause and do not show how fast the servers are.
    AfterPause,
}

/// Timer that makes the caller start another batch even if no other event occurs.
pub(crate) struct BatchTimer {
    /// Time at which the timer should fire; infinite while it is not set.
    fires_at: Ms,
    /// Whether this aggregator was paused before the current batch.
    timing: BatchTiming,
}

impl BatchTimer {
    /// Creates a timer that is not set.
    pub(crate) fn new() -> Self {
        BatchTimer {
            fires_at: f64::INFINITY,
            timing: BatchTiming::OnTime,
        }
    }

    /// Starts a batch, and detects whether this aggregator was paused before it.
    pub(crate) fn on_batch(&mut self, batch: &BatchContext) {
        let is_late = batch.now > self.fires_at + MIN_PAUSE_OBJECTIVES * batch.shortest_objective();
        self.timing = if is_late {
            BatchTiming::AfterPause
        } else {
            BatchTiming::OnTime
        };
    }

    /// Handles the event that the timer has fired: it is not set any more.
    pub(crate) fn on_fired(&mut self) {
        self.fires_at = f64::INFINITY;
    }

    /// Returns whether this aggregator was paused before the current batch.
    pub(crate) fn timing(&self) -> BatchTiming {
        self.timing
    }

    /// Sets the timer if it is not set. Returns the time from now after which it has to fire, in
    /// ms, or `None` if it was already set.
    pub(crate) fn set_if_unset(&mut self, batch: &BatchContext, load: QueryLoad) -> Option<Ms> {
        if self.fires_at != f64::INFINITY {
            return None;
        }
        let ticks = match load {
            QueryLoad::Idle => IDLE_INTERVAL_TICKS,
            QueryLoad::Busy => BUSY_INTERVAL_TICKS,
        };
        let after = ticks * batch.settings.tick.max(MIN_TICK_MS);
        self.fires_at = batch.now + after;
        Some(after)
    }
}

/// Whether queries are in flight.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum QueryLoad {
    /// No query is in flight.
    Idle,
    /// At least one query is in flight.
    Busy,
}

/// Whether a new control interval starts with the current batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IntervalStart {
    /// A new control interval starts.
    Started,
    /// The current control interval continues.
    NotDue,
}

/// Timer of the control intervals.
pub(crate) struct ControlTimer {
    /// Start of the next control interval.
    next_interval_at: Ms,
}

impl ControlTimer {
    /// Creates a timer whose first control interval starts with the first batch.
    pub(crate) fn new() -> Self {
        ControlTimer {
            next_interval_at: f64::NEG_INFINITY,
        }
    }

    /// Starts a new control interval if the current one has ended.
    pub(crate) fn start_interval_if_due(&mut self, now: Ms) -> IntervalStart {
        if now < self.next_interval_at {
            return IntervalStart::NotDue;
        }
        self.next_interval_at = now + CONTROL_INTERVAL_MS;
        IntervalStart::Started
    }
}
