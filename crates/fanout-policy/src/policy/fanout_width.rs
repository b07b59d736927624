//! Controls the fan-out width: the number of replica rows that a query contacts.
//!
//! [`FanoutWidthController`] owns the width for one query class, and the counts of attempts from
//! which the width is adjusted.

use crate::random::RandomSource;

/// Set point of the controller: the share of failures among the attempts that count for the width,
/// see [`FanoutWidthController`]. The relative error is the set point less the measured share,
/// divided by the set point. It is negative if more attempts fail than the set point allows.
const TARGET_FAILURE_SHARE: f64 = 0.02;
/// Proportional gain, in units of controller output per unit of relative error. The controller
/// output is the sum of a proportional and a derivative term, from which the change of the width is
/// computed.
const PROPORTIONAL_GAIN: f64 = 1.0;
/// Derivative gain, in units of controller output per change of the relative error in one
/// control interval.
const DERIVATIVE_GAIN: f64 = 0.5;
/// Change of the width per control interval and unit of controller output, in rows.
const STEP_ROWS: f64 = 0.25;
/// Limit on the absolute value of a negative relative error, so that a single interval with many
/// failures does not reduce the width to its minimum.
const MAX_NEGATIVE_ERROR: f64 = 2.0;

/// Proportional-derivative (PD) controller of the fan-out width of one query class. A share of
/// failures below the set point widens the fan-out, and a share above it narrows the fan-out.
///
/// An attempt counts if it was answered, rejected for lack of capacity, or timed out. Rejections
/// and timeouts count as failures, except outdated timeouts, see `HealthSignal::OutdatedTimeout` in
/// `ended_attempt`. All other attempts do not count, since their ends indicate nothing about the
/// load of the servers. The same is true of timeouts that are reported after a pause of this
/// aggregator.
#[derive(Clone)]
pub(crate) struct FanoutWidthController {
    /// Number of replica rows that a query contacts on average.
    rows: f64,
    /// Number of attempts that count and ended in the current control interval.
    counted_attempts: u32,
    /// Number of those attempts that count as failures.
    failed_attempts: u32,
    /// Relative error of the last control interval in which an attempt counted.
    last_error: f64,
}

impl FanoutWidthController {
    /// Creates a controller whose initial width is `rows`.
    pub(crate) fn new(rows: usize) -> Self {
        FanoutWidthController {
            rows: rows as f64,
            counted_attempts: 0,
            failed_attempts: 0,
            last_error: 0.0,
        }
    }

    /// Returns the fan-out width, in replica rows.
    pub(crate) fn rows(&self) -> f64 {
        self.rows
    }

    /// Counts an attempt that was answered, or whose timeout is outdated.
    pub(crate) fn record_normal_end(&mut self) {
        self.counted_attempts += 1;
    }

    /// Counts an attempt that was rejected for lack of capacity or timed out, if the timeout is not
    /// outdated.
    pub(crate) fn record_overload(&mut self) {
        self.counted_attempts += 1;
        self.failed_attempts += 1;
    }

    /// Ends a control interval: adjusts the width according to the share of failed attempts, and
    /// limits it to the range from 1 to `max_rows` (1 if that is 0). The width stays the same if
    /// no attempt counted in the interval.
    pub(crate) fn adjust(&mut self, max_rows: usize) {
        if self.counted_attempts == 0 {
            return;
        }
        let failure_share = f64::from(self.failed_attempts) / f64::from(self.counted_attempts);
        let error = (TARGET_FAILURE_SHARE - failure_share) / TARGET_FAILURE_SHARE;
        let error = error.max(-MAX_NEGATIVE_ERROR);
        let change = PROPORTIONAL_GAIN * error + DERIVATIVE_GAIN * (error - self.last_error);
        self.rows = (self.rows + STEP_ROWS * change).clamp(1.0, max_rows.max(1) as f64);
        self.last_error = error;
        self.counted_attempts = 0;
        self.failed_attempts = 0;
    }

    /// Draws the number of rows that one query contacts, at most `available`, which must not be 0.
    /// This is the width rounded up or down at random, so that the mean over many queries is the
    /// width.
    pub(crate) fn draw(&self, available: usize, random: &mut RandomSource) -> usize {
        let target_rows = self.rows.clamp(1.0, available as f64);
        let extra = usize::from(random.fraction() < target_rows.fract());
        (target_rows.floor() as usize + extra).min(available)
    }
}
