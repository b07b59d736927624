//! Controller of the fan-out width: how many replica rows the queries of a class contact.

use super::tuning::{
    FANOUT_DERIVATIVE_GAIN, FANOUT_ERROR_LIMIT, FANOUT_PROPORTIONAL_GAIN, FANOUT_STEP,
    FANOUT_TARGET_FAILURE_RATE,
};
use crate::aggregator::Aggregator;

impl Aggregator {
    /// One step of the PD controller on the share of attempts that were rejected or timed out, if any ended.
    pub(crate) fn adjust_fanout_width(&mut self, class: usize) {
        let max_rows = self.fleet.rows.max_holders().max(1);
        let width = &mut self.classes[class].fanout;
        if width.ended == 0 {
            return;
        }
        let failure_rate = f64::from(width.failed) / f64::from(width.ended);
        let error = (FANOUT_TARGET_FAILURE_RATE - failure_rate) / FANOUT_TARGET_FAILURE_RATE;
        let error = error.max(-FANOUT_ERROR_LIMIT);
        let change =
            FANOUT_PROPORTIONAL_GAIN * error + FANOUT_DERIVATIVE_GAIN * (error - width.last_error);
        width.rows = (width.rows + FANOUT_STEP * change).clamp(1.0, max_rows as f64);
        width.last_error = error;
        width.ended = 0;
        width.failed = 0;
    }

    /// Number of rows for one query out of `rows`: the width, randomly rounded up or down.
    pub(crate) fn draw_fanout_width(&mut self, class: usize, rows: usize) -> usize {
        let wanted = self.classes[class].fanout.rows.clamp(1.0, rows as f64);
        let extra = usize::from(self.random.fraction() < wanted.fract());
        (wanted.floor() as usize + extra).min(rows)
    }
}
