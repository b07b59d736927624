//! One query in flight.

use super::{Attempt, PartState};
use crate::api::{Ms, Part, Query};

/// Whether the parts of an answer reach the share of the total weight that the query's class
/// requires. A query whose first step was answered partially stays partial in its second step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerKind {
    /// The answer has at least the required share.
    Complete,
    /// The answer has less than the required share.
    Partial,
}

/// Step of a query. A query of a class with a second step is answered once in each step.
enum Step {
    First,
    Second {
        /// Index of the first part of this step.
        first_part: usize,
        first_answer: AnswerKind,
        first_answer_at: Ms,
    },
}

/// Data that the aggregator determines when a query arrives, in addition to the fields of
/// [`Query`].
pub(crate) struct Arrival {
    /// Index of the query's class in the settings.
    pub(crate) class: usize,
    /// Time at which the query arrived.
    pub(crate) arrived_at: Ms,
    /// When the client first sent the query, as far as can be determined: earlier than `arrived_at`
    /// for a retry. The latency objective counts from this time.
    pub(crate) first_sent_at: Ms,
}

/// A query that has no final answer yet.
pub(crate) struct InFlightQuery {
    arrival: Arrival,
    tenant: usize,
    group: u64,
    client_deadline: Ms,
    parts: Vec<PartState>,
    step: Step,
    /// Whether the parts of the current step have been assigned to rows.
    is_planned: bool,
    /// Latency that was forecast when the query was last admitted; `None` if it has not been
    /// admitted or was rejected since.
    forecast: Option<Ms>,
}

impl InFlightQuery {
    /// Creates a query that has arrived, without parts.
    pub(crate) fn new(query: &Query, arrival: Arrival) -> Self {
        InFlightQuery {
            arrival,
            tenant: query.tenant.0,
            group: query.group,
            client_deadline: query.client_deadline,
            parts: Vec::new(),
            step: Step::First,
            is_planned: false,
            forecast: None,
        }
    }

    /// Returns the index of the query's class.
    pub(crate) fn class(&self) -> usize {
        self.arrival.class
    }

    /// Returns the index of the query's tenant.
    pub(crate) fn tenant(&self) -> usize {
        self.tenant
    }

    /// Returns the group number that the query shares with its parts.
    pub(crate) fn group(&self) -> u64 {
        self.group
    }

    /// Returns when the client first sent the query, as far as can be determined.
    pub(crate) fn first_sent_at(&self) -> Ms {
        self.arrival.first_sent_at
    }

    /// Returns when the client stops waiting for an answer.
    pub(crate) fn client_deadline(&self) -> Ms {
        self.client_deadline
    }

    /// Returns the parts of both steps.
    pub(crate) fn parts(&self) -> &[PartState] {
        &self.parts
    }

    /// Returns the parts of the current step.
    pub(crate) fn step_parts(&self) -> &[PartState] {
        &self.parts[self.step_start()..]
    }

    /// Returns the parts of the current step as mutable references.
    pub(crate) fn step_parts_mut(&mut self) -> &mut [PartState] {
        let start = self.step_start();
        &mut self.parts[start..]
    }

    /// Returns the indexes of the current step's parts among the parts of both steps.
    pub(crate) fn step_part_indexes(&self) -> std::ops::Range<usize> {
        self.step_start()..self.parts.len()
    }

    /// Returns a mutable reference to the part with this index, if it exists.
    pub(crate) fn part_mut(&mut self, index: usize) -> Option<&mut PartState> {
        self.parts.get_mut(index)
    }

    /// Returns all attempts for the parts of both steps.
    pub(crate) fn attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.parts.iter().flat_map(PartState::attempts)
    }

    /// Returns the number of served parts of both steps.
    pub(crate) fn served_parts(&self) -> usize {
        self.parts.iter().filter(|part| part.is_served()).count()
    }

    /// Returns the total weight of the current step's parts for which `counts` returns true.
    pub(crate) fn step_weight(&self, counts: impl Fn(&PartState) -> bool) -> f64 {
        let parts = self.step_parts().iter().filter(|part| counts(part));
        parts.map(PartState::weight).sum()
    }

    /// Adds a part to the current step and returns its index. The parts of the step must then be
    /// planned again.
    pub(crate) fn add_part(&mut self, part: Part) -> usize {
        self.parts.push(PartState::new(part));
        self.is_planned = false;
        self.parts.len() - 1
    }

    /// Returns whether the current step has parts that are not assigned to rows yet.
    pub(crate) fn needs_planning(&self) -> bool {
        !self.is_planned && !self.step_parts().is_empty()
    }

    /// Records that all parts of the current step are being assigned to rows.
    pub(crate) fn start_planning(&mut self) {
        self.is_planned = true;
    }

    /// Records that the query is admitted, with the forecast of its latency.
    pub(crate) fn admit(&mut self, forecast: Ms) {
        self.forecast = Some(forecast);
    }

    /// Discards the forecast of a query that is rejected, so that the query does not change the
    /// average of forecast errors. An admitted query can still be rejected: admission is decided
    /// again when a further part of the first step arrives.
    pub(crate) fn discard_forecast(&mut self) {
        self.forecast = None;
    }

    /// Returns whether the first step has been answered and the second step runs.
    pub(crate) fn in_second_step(&self) -> bool {
        matches!(self.step, Step::Second { .. })
    }

    /// Returns whether the first step's answer was complete or partial; `None` before that answer.
    pub(crate) fn first_answer(&self) -> Option<AnswerKind> {
        match self.step {
            Step::First => None,
            Step::Second { first_answer, .. } => Some(first_answer),
        }
    }

    /// Records the first step's answer and starts the second step. Parts that arrive from now on
    /// belong to the second step.
    pub(crate) fn start_second_step(&mut self, now: Ms, first_answer: AnswerKind) {
        self.step = Step::Second {
            first_part: self.parts.len(),
            first_answer,
            first_answer_at: now,
        };
    }

    /// Returns the time from the client's first sending of the query to the first step's answer;
    /// 0 before that answer.
    pub(crate) fn first_step_duration(&self) -> Ms {
        match self.step {
            Step::First => 0.0,
            Step::Second {
                first_answer_at, ..
            } => first_answer_at - self.arrival.first_sent_at,
        }
    }

    /// Returns the time since the second step started; `None` in the first step.
    pub(crate) fn second_step_duration(&self, now: Ms) -> Option<Ms> {
        match self.step {
            Step::First => None,
            Step::Second {
                first_answer_at, ..
            } => Some(now - first_answer_at),
        }
    }

    /// Returns by how much the first step of a query that ends now took longer than forecast. The
    /// value is negative if the first step was faster. `None` if there is no positive forecast, or
    /// if the first step ended at the time at which the query arrived, so that its duration
    /// is 0.
    pub(crate) fn forecast_error(&self, now: Ms) -> Option<Ms> {
        let first_end = match self.step {
            Step::First => now,
            Step::Second {
                first_answer_at, ..
            } => first_answer_at,
        };
        let forecast = self.forecast.filter(|forecast| *forecast > 0.0)?;
        let arrived_at = self.arrival.arrived_at;
        (first_end > arrived_at).then_some(first_end - arrived_at - forecast)
    }

    /// Returns the index of the current step's first part among the parts of both steps.
    fn step_start(&self) -> usize {
        match self.step {
            Step::First => 0,
            Step::Second { first_part, .. } => first_part,
        }
    }
}
