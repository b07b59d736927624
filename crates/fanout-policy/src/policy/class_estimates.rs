//! Moving averages of one class: the cost of its parts and how long its queries take.
//!
//! [`ClassEstimates`] owns them.

use super::smoothing::SAMPLE_WEIGHT;
use crate::api::{Ms, Settings};
use crate::statistics::{decay, smooth};

/// Cost of a part before any observation, in multiples of the cost of a call.
const INITIAL_PART_COST_CALLS: f64 = 2.0;
/// Least cost of a call from which the initial cost of a part is taken.
const MIN_CALL_COST_MS: Ms = 1.0;
/// Quantile of answer times taken as the cost of a part.
const PART_COST_QUANTILE: f64 = 0.2;
/// Relative step of the part cost estimate.
const PART_COST_STEP: f64 = 0.05;
/// Largest factor by which a cost hint changes the cost of a part, up or down.
const MAX_HINT_FACTOR: f64 = 2.0;
/// Weight of a sample in the average of forecast errors.
const FORECAST_ERROR_SAMPLE_WEIGHT: f64 = 0.1;
/// Largest forecast error, in latency objectives: below the admission limit, so that an idle
/// fleet always admits.
const MAX_FORECAST_ERROR_OBJECTIVES: f64 = 0.45;
/// Largest reserve for a second step, in latency objectives: the first step has more parts.
const MAX_SECOND_STEP_OBJECTIVES: f64 = 0.5;

/// What is learned about one class.
#[derive(Clone)]
pub(crate) struct ClassEstimates {
    /// Cost of one part.
    part_cost: Ms,
    /// How much longer than forecast queries take.
    forecast_error: Ms,
    /// Duration of the second step.
    second_step_duration: Ms,
}

impl ClassEstimates {
    /// Estimates before any observation.
    pub(crate) fn new(settings: &Settings) -> Self {
        let part_cost = settings.call_cost.max(MIN_CALL_COST_MS) * INITIAL_PART_COST_CALLS;
        ClassEstimates {
            part_cost,
            forecast_error: 0.0,
            second_step_duration: part_cost,
        }
    }

    /// Cost of one part.
    pub(crate) fn part_cost(&self) -> Ms {
        self.part_cost
    }

    /// Cost of a part with this hint.
    pub(crate) fn hinted_part_cost(&self, hint: Option<Ms>) -> Ms {
        let cost = self.part_cost;
        let bounded = |hint: Ms| hint.clamp(cost / MAX_HINT_FACTOR, cost * MAX_HINT_FACTOR);
        hint.map_or(cost, bounded)
    }

    /// How much longer than forecast queries take.
    pub(crate) fn forecast_error(&self) -> Ms {
        self.forecast_error
    }

    /// Duration of the second step.
    pub(crate) fn second_step_duration(&self) -> Ms {
        self.second_step_duration
    }

    /// Moves the cost of a part towards the quantile of answer times.
    pub(crate) fn record_answer_time(&mut self, elapsed: Ms) {
        let is_above = elapsed > self.part_cost;
        let step = if is_above {
            PART_COST_QUANTILE
        } else {
            PART_COST_QUANTILE - 1.0
        };
        self.part_cost *= 1.0 + PART_COST_STEP * step;
    }

    /// Learns by how much a query took longer than forecast.
    pub(crate) fn record_forecast_error(&mut self, error: Ms, objective: Ms) {
        let error = error.clamp(0.0, MAX_FORECAST_ERROR_OBJECTIVES * objective);
        smooth(
            &mut self.forecast_error,
            FORECAST_ERROR_SAMPLE_WEIGHT,
            error,
        );
    }

    /// Lets the forecast error decay with each rejected query. These give no samples, so that
    /// otherwise one bad period would count for good.
    pub(crate) fn record_rejection(&mut self) {
        decay(&mut self.forecast_error, FORECAST_ERROR_SAMPLE_WEIGHT / 2.0);
    }

    /// Learns how long a second step took.
    pub(crate) fn record_second_step(&mut self, duration: Ms, objective: Ms) {
        let duration = duration.min(objective * MAX_SECOND_STEP_OBJECTIVES);
        smooth(&mut self.second_step_duration, SAMPLE_WEIGHT, duration);
    }
}
