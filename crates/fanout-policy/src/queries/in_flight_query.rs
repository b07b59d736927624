//! One query in flight.

use super::{Attempt, PartState};
use crate::api::{Ms, Part, Query};

/// Whether an answer has all parts that its class requires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum AnswerKind {
    /// It has.
    Complete,
    /// It has fewer.
    Partial,
}

/// Step of a query. Classes with a second step answer each of the two steps.
enum Step {
    First,
    Second {
        /// Index of the first part of this step.
        first_part: usize,
        first_answer: AnswerKind,
        first_answer_at: Ms,
    },
}

/// What is known of a query when it arrives, besides what the client states.
pub(crate) struct Arrival {
    /// Index of its class among those of the settings.
    pub(crate) class: usize,
    /// When it arrived.
    pub(crate) arrived_at: Ms,
    /// When the client first sent it, as far as is known. The latency objective counts from here.
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
    /// Forecast latency, made on arrival; `None` if the query was not admitted.
    forecast: Option<Ms>,
}

impl InFlightQuery {
    /// A query that has arrived, without its parts.
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

    /// Index of its class.
    pub(crate) fn class(&self) -> usize {
        self.arrival.class
    }

    /// Index of its tenant.
    pub(crate) fn tenant(&self) -> usize {
        self.tenant
    }

    /// Group number that it shares with its parts.
    pub(crate) fn group(&self) -> u64 {
        self.group
    }

    /// When the client first sent it, as far as is known.
    pub(crate) fn first_sent_at(&self) -> Ms {
        self.arrival.first_sent_at
    }

    /// When the client gives up.
    pub(crate) fn client_deadline(&self) -> Ms {
        self.client_deadline
    }

    /// All parts.
    pub(crate) fn parts(&self) -> &[PartState] {
        &self.parts
    }

    /// Parts of the current step.
    pub(crate) fn step_parts(&self) -> &[PartState] {
        &self.parts[self.step_start()..]
    }

    /// Parts of the current step, to be changed.
    pub(crate) fn step_parts_mut(&mut self) -> &mut [PartState] {
        let start = self.step_start();
        &mut self.parts[start..]
    }

    /// Indexes of the parts of the current step among all parts.
    pub(crate) fn step_part_indexes(&self) -> std::ops::Range<usize> {
        self.step_start()..self.parts.len()
    }

    /// One part, to be changed.
    pub(crate) fn part_mut(&mut self, index: usize) -> Option<&mut PartState> {
        self.parts.get_mut(index)
    }

    /// All attempts of all parts.
    pub(crate) fn attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.parts.iter().flat_map(PartState::attempts)
    }

    /// Number of parts that were served.
    pub(crate) fn served_parts(&self) -> usize {
        self.parts.iter().filter(|part| part.is_served()).count()
    }

    /// Total weight of the parts of the current step that satisfy a predicate.
    pub(crate) fn step_weight(&self, counts: impl Fn(&PartState) -> bool) -> f64 {
        let parts = self.step_parts().iter().filter(|part| counts(part));
        parts.map(PartState::weight).sum()
    }

    /// Adds a part to the current step and returns its index.
    pub(crate) fn add_part(&mut self, part: Part) -> usize {
        self.parts.push(PartState::new(part));
        self.is_planned = false;
        self.parts.len() - 1
    }

    /// Whether parts of the current step have not been assigned to rows.
    pub(crate) fn needs_planning(&self) -> bool {
        !self.is_planned && !self.step_parts().is_empty()
    }

    /// Records that the parts of the current step are being assigned to rows.
    pub(crate) fn start_planning(&mut self) {
        self.is_planned = true;
    }

    /// Records that the query was admitted with this forecast latency.
    pub(crate) fn admit(&mut self, forecast: Ms) {
        self.forecast = Some(forecast);
    }

    /// Discards the forecast of a query that was not admitted.
    pub(crate) fn discard_forecast(&mut self) {
        self.forecast = None;
    }

    /// Whether the first answer has been given and the second step runs.
    pub(crate) fn in_second_step(&self) -> bool {
        matches!(self.step, Step::Second { .. })
    }

    /// What kind of answer the first step gave, if it has.
    pub(crate) fn first_answer(&self) -> Option<AnswerKind> {
        match self.step {
            Step::First => None,
            Step::Second { first_answer, .. } => Some(first_answer),
        }
    }

    /// Records the first answer. The second step's parts are those that arrive from now on.
    pub(crate) fn start_second_step(&mut self, now: Ms, first_answer: AnswerKind) {
        self.step = Step::Second {
            first_part: self.parts.len(),
            first_answer,
            first_answer_at: now,
        };
    }

    /// Time from the first sending to the first answer; 0 before that answer.
    pub(crate) fn first_step_duration(&self) -> Ms {
        match self.step {
            Step::First => 0.0,
            Step::Second {
                first_answer_at, ..
            } => first_answer_at - self.arrival.first_sent_at,
        }
    }

    /// Time that the second step has taken, if it runs.
    pub(crate) fn second_step_duration(&self, now: Ms) -> Option<Ms> {
        match self.step {
            Step::First => None,
            Step::Second {
                first_answer_at, ..
            } => Some(now - first_answer_at),
        }
    }

    /// By how much a query that ends now took longer than forecast until its first answer,
    /// negative if it was faster; `None` without a forecast, or if it ends in the batch in
    /// which it arrived.
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

    fn step_start(&self) -> usize {
        match self.step {
            Step::First => 0,
            Step::Second { first_part, .. } => first_part,
        }
    }
}
