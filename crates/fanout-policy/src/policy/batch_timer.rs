//! When the next batch is due, and whether the current one came late.
//!
//! [`BatchTimer`] owns the time for which the timer is set, [`ControlTimer`] that of the next
//! control interval.

use super::batch_context::BatchContext;
use crate::api::Ms;

/// Time between two runs of the control loops.
pub(crate) const CONTROL_INTERVAL_MS: Ms = 1000.0;
/// Delay of a batch from which this aggregator counts as paused, in shortest latency objectives.
const PAUSE_OBJECTIVES: f64 = 0.05;
/// Ticks between batches while no query is in flight.
const IDLE_INTERVAL_TICKS: f64 = 50.0;
/// Ticks between batches while queries are in flight.
const BUSY_INTERVAL_TICKS: f64 = 1.0;
/// Least length of a tick.
const MIN_TICK_MS: Ms = 1.0;

/// Whether this aggregator ran without a pause until the current batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum BatchTiming {
    /// The batch came when it was due or before.
    OnTime,
    /// The batch came so late that this aggregator itself must have been paused, so that
    /// the time which attempts took says little about their servers.
    AfterPause,
}

/// The timer of the next batch.
pub(crate) struct BatchTimer {
    /// When the timer fires; infinite while none is set.
    fires_at: Ms,
    /// Whether the last batch came on time.
    timing: BatchTiming,
}

impl BatchTimer {
    /// A timer that is not set.
    pub(crate) fn new() -> Self {
        BatchTimer {
            fires_at: f64::INFINITY,
            timing: BatchTiming::OnTime,
        }
    }

    /// Starts a batch.
    pub(crate) fn on_batch(&mut self, batch: &BatchContext) {
        let is_late = batch.now > self.fires_at + PAUSE_OBJECTIVES * batch.shortest_objective();
        self.timing = if is_late {
            BatchTiming::AfterPause
        } else {
            BatchTiming::OnTime
        };
    }

    /// Handles the firing of the timer.
    pub(crate) fn on_fired(&mut self) {
        self.fires_at = f64::INFINITY;
    }

    /// Whether the last batch came on time.
    pub(crate) fn timing(&self) -> BatchTiming {
        self.timing
    }

    /// Sets the timer if it is not set, and returns the time after which it is to fire.
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

/// Whether a control interval starts with the current batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum IntervalStart {
    /// It does.
    Started,
    /// The current interval continues.
    NotDue,
}

/// The timer of the control loops.
pub(crate) struct ControlTimer {
    /// Start of the next control interval.
    next_interval_at: Ms,
}

impl ControlTimer {
    /// A timer whose first interval starts with the first batch.
    pub(crate) fn new() -> Self {
        ControlTimer {
            next_interval_at: f64::NEG_INFINITY,
        }
    }

    /// Starts a control interval if it is time for it.
    pub(crate) fn start_interval_if_due(&mut self, now: Ms) -> IntervalStart {
        if now < self.next_interval_at {
            return IntervalStart::NotDue;
        }
        self.next_interval_at = now + CONTROL_INTERVAL_MS;
        IntervalStart::Started
    }
}
