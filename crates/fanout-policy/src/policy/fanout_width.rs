//! Controller of the fan-out width: how many replica rows the queries of a class contact.
//!
//! [`FanoutWidthController`] owns the width of one class and the counts of attempts that it is
//! adjusted to.

use crate::random::RandomSource;

/// Share of attempts rejected or timed out that the width is steered to.
const TARGET_FAILURE_SHARE: f64 = 0.02;
/// Proportional gain, in units of controller output per unit of relative error.
const PROPORTIONAL_GAIN: f64 = 1.0;
/// Derivative gain, in units of controller output per change of the relative error in one
/// control interval.
const DERIVATIVE_GAIN: f64 = 0.5;
/// Change of the width per control interval and unit of controller output.
const STEP_ROWS: f64 = 0.25;
/// Largest negative relative error that counts, so that one bad interval does not undo the width.
const MAX_NEGATIVE_ERROR: f64 = 2.0;

/// PD controller of the fan-out width of one class.
#[derive(Clone)]
pub(crate) struct FanoutWidthController {
    /// Replica rows to contact.
    rows: f64,
    /// Attempts that ended in the current control interval.
    ended: u32,
    /// Of these, the attempts that were rejected or timed out.
    failed: u32,
    /// Relative error of the last control interval.
    last_error: f64,
}

impl FanoutWidthController {
    /// A controller that starts with this number of rows.
    pub(crate) fn new(rows: usize) -> Self {
        FanoutWidthController {
            rows: rows as f64,
            ended: 0,
            failed: 0,
            last_error: 0.0,
        }
    }

    /// The width in replica rows.
    pub(crate) fn rows(&self) -> f64 {
        self.rows
    }

    /// Counts an attempt that ended without a sign of overload.
    pub(crate) fn record_normal_end(&mut self) {
        self.ended += 1;
    }

    /// Counts an attempt that was rejected for lack of capacity or timed out.
    pub(crate) fn record_overload(&mut self) {
        self.ended += 1;
        self.failed += 1;
    }

    /// Ends a control interval: adjusts the width to the share of failed attempts, if any
    /// attempt ended.
    pub(crate) fn adjust(&mut self, max_rows: usize) {
        if self.ended == 0 {
            return;
        }
        let failure_share = f64::from(self.failed) / f64::from(self.ended);
        let error = (TARGET_FAILURE_SHARE - failure_share) / TARGET_FAILURE_SHARE;
        let error = error.max(-MAX_NEGATIVE_ERROR);
        let change = PROPORTIONAL_GAIN * error + DERIVATIVE_GAIN * (error - self.last_error);
        self.rows = (self.rows + STEP_ROWS * change).clamp(1.0, max_rows.max(1) as f64);
        self.last_error = error;
        self.ended = 0;
        self.failed = 0;
    }

    /// Number of rows for one query out of `available`: the width, randomly rounded up or down.
    pub(crate) fn draw(&self, available: usize, random: &mut RandomSource) -> usize {
        let wanted = self.rows.clamp(1.0, available as f64);
        let extra = usize::from(random.fraction() < wanted.fract());
        (wanted.floor() as usize + extra).min(available)
    }
}
