//! Estimates for one query class: the cost of a part, the error of latency forecasts and the
//! duration of the second step.
//!
//! [`ClassEstimates`] owns the estimates of one class.

use super::smoothing::SAMPLE_WEIGHT;
use crate::api::{Ms, Settings};
use crate::statistics::{decay, smooth};

/// Initial estimate of the cost of a part, in multiples of the cost of a call.
const INITIAL_PART_COST_CALLS: f64 = 2.0;
/// Lower bound of the cost of a call in the initial estimate of the cost of a part.
const MIN_CALL_COST_MS: Ms = 1.0;
/// Quantile of the answer times of attempts that is taken as the cost of a part. The attempts that
/// were answered fastest had to wait least at their servers, so a low quantile estimates the cost
/// of a part without waiting time.
const PART_COST_QUANTILE: f64 = 0.2;
/// Step size of the part cost estimate: its relative change per answer is at most this.
const PART_COST_STEP: f64 = 0.05;
/// Maximum factor by which a cost hint raises or lowers the cost of a part.
const MAX_HINT_FACTOR: f64 = 2.0;
/// Weight of a sample in the average of forecast errors.
const FORECAST_ERROR_SAMPLE_WEIGHT: f64 = 0.1;
/// Maximum forecast error, in latency objectives. It is below the minimum share of the time left
/// that admission control allows for a forecast, so that an idle fleet always admits queries.
const MAX_FORECAST_ERROR_OBJECTIVES: f64 = 0.45;
/// Maximum time reserved for a second step, in latency objectives. At least the rest of the
/// objective is left to the first step, which has more parts.
const MAX_SECOND_STEP_OBJECTIVES: f64 = 0.5;

/// Estimates for one query class, updated with each observation.
#[derive(Clone)]
pub(crate) struct ClassEstimates {
    /// Cost of one part, in ms of server time.
    part_cost: Ms,
    /// Time by which queries take longer than forecast, as a moving average.
    forecast_error: Ms,
    /// Duration of the second step, as a moving average.
    second_step_duration: Ms,
}

impl ClassEstimates {
    /// Creates the initial estimates, before any observation.
    pub(crate) fn new(settings: &Settings) -> Self {
        let part_cost = settings.call_cost.max(MIN_CALL_COST_MS) * INITIAL_PART_COST_CALLS;
        ClassEstimates {
            part_cost,
            forecast_error: 0.0,
            second_step_duration: part_cost,
        }
    }

    /// Returns the estimated cost of one part.
    pub(crate) fn part_cost(&self) -> Ms {
        self.part_cost
    }

    /// Returns the estimated cost of a part that has the cost hint `hint`. The hint replaces the
    /// estimate of the class, but within the limits set by [`MAX_HINT_FACTOR`].
    pub(crate) fn hinted_part_cost(&self, hint: Option<Ms>) -> Ms {
        let cost = self.part_cost;
        let bounded = |hint: Ms| hint.clamp(cost / MAX_HINT_FACTOR, cost * MAX_HINT_FACTOR);
        hint.map_or(cost, bounded)
    }

    /// Returns the average time by which queries take longer than forecast.
    pub(crate) fn forecast_error(&self) -> Ms {
        self.forecast_error
    }

    /// Returns the average duration of the second step.
    pub(crate) fn second_step_duration(&self) -> Ms {
        self.second_step_duration
    }

    /// Records the answer time of an attempt: moves the estimated cost of a part towards the
    /// quantile [`PART_COST_QUANTILE`] of the answer times.
    pub(crate) fn record_answer_time(&mut self, elapsed: Ms) {
        let is_above = elapsed > self.part_cost;
        let step = if is_above {
            PART_COST_QUANTILE
        } else {
            PART_COST_QUANTILE - 1.0
        };
        self.part_cost *= 1.0 + PART_COST_STEP * step;
    }

    /// Records the time by which a query took longer than forecast. A negative `error` counts
    /// as 0, and a large one is limited relative to the latency objective of the class.
    pub(crate) fn record_forecast_error(&mut self, error: Ms, objective: Ms) {
        let error = error.clamp(0.0, MAX_FORECAST_ERROR_OBJECTIVES * objective);
        smooth(
            &mut self.forecast_error,
            FORECAST_ERROR_SAMPLE_WEIGHT,
            error,
        );
    }

    /// Records the rejection of a query: moves the forecast error towards 0. Rejected queries
    /// give no samples of the error, so a large error that causes every query to be rejected
    /// would otherwise stay for good.
    pub(crate) fn record_rejection(&mut self) {
        decay(&mut self.forecast_error, FORECAST_ERROR_SAMPLE_WEIGHT / 2.0);
    }

    /// Records the duration of a second step, limited relative to the latency objective of the
    /// class.
    pub(crate) fn record_second_step(&mut self, duration: Ms, objective: Ms) {
        let duration = duration.min(objective * MAX_SECOND_STEP_OBJECTIVES);
        smooth(&mut self.second_step_duration, SAMPLE_WEIGHT, duration);
    }
}
