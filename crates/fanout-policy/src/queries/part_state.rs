//! One part of a query in flight.

use super::{Attempt, InFlightAttempt};
use crate::api::{Ms, Outcome, Part, PartId};
use crate::fleet::ServerIndex;

/// State of one part.
pub(crate) struct PartState {
    id: PartId,
    shard: usize,
    weight: f64,
    cost_hint: Option<Ms>,
    /// Server of the row that the part was assigned to.
    row_server: Option<ServerIndex>,
    /// Attempts so far, in order.
    attempts: Vec<Attempt>,
    is_served: bool,
    /// Whether the answer is expected to do without it.
    is_deferred: bool,
}

impl PartState {
    /// A part that has arrived. Weights and cost hints that make no sense are ignored.
    pub(crate) fn new(part: Part) -> Self {
        let weight = if part.weight.is_finite() {
            part.weight.max(0.0)
        } else {
            0.0
        };
        let is_valid_cost = |cost: &Ms| cost.is_finite() && *cost > 0.0;
        PartState {
            id: part.id,
            shard: part.shard,
            weight,
            cost_hint: part.cost_hint.filter(is_valid_cost),
            row_server: None,
            attempts: Vec::new(),
            is_served: false,
            is_deferred: false,
        }
    }

    /// Its identifier.
    pub(crate) fn id(&self) -> &PartId {
        &self.id
    }

    /// Its shard.
    pub(crate) fn shard(&self) -> usize {
        self.shard
    }

    /// Its weight in the answer.
    pub(crate) fn weight(&self) -> f64 {
        self.weight
    }

    /// Approximate cost, if there is a valid hint.
    pub(crate) fn cost_hint(&self) -> Option<Ms> {
        self.cost_hint
    }

    /// Server of the row that the part was assigned to, if its shard has any.
    pub(crate) fn row_server(&self) -> Option<ServerIndex> {
        self.row_server
    }

    /// Assigns the part to a row by the server that holds its shard there.
    pub(crate) fn assign(&mut self, row_server: Option<ServerIndex>) {
        self.row_server = row_server;
    }

    /// Whether an attempt was served.
    pub(crate) fn is_served(&self) -> bool {
        self.is_served
    }

    /// Whether the answer is expected to do without it.
    pub(crate) fn is_deferred(&self) -> bool {
        self.is_deferred
    }

    /// Leaves the part out of the answer unless another part needs a retry.
    pub(crate) fn defer(&mut self) {
        self.is_deferred = true;
    }

    /// Attempts so far, in order.
    pub(crate) fn attempts(&self) -> &[Attempt] {
        &self.attempts
    }

    /// Records an attempt that is sent, and returns its number.
    pub(crate) fn record_send(&mut self, attempt: &InFlightAttempt) -> u32 {
        self.attempts.push(Attempt::sent(attempt));
        self.attempts.len() as u32 - 1
    }

    /// Records the outcome of an attempt.
    pub(crate) fn record_outcome(&mut self, number: u32, outcome: Outcome) {
        if let Some(attempt) = self.attempts.get_mut(number as usize) {
            attempt.end(outcome);
            self.is_served |= outcome == Outcome::Served;
        }
    }

    /// Whether it can be sent once more within this number of attempts.
    pub(crate) fn has_attempts_left(&self, max_attempts: u32) -> bool {
        (self.attempts.len() as u32) < max_attempts
    }

    /// Whether an attempt is in flight.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Number of attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> usize {
        let in_flight = self
            .attempts
            .iter()
            .filter(|attempt| attempt.is_in_flight());
        in_flight.count()
    }

    /// Numbers of the attempts in flight.
    pub(crate) fn in_flight_numbers(&self) -> impl Iterator<Item = u32> {
        let attempts = self.attempts.iter().enumerate();
        let in_flight = attempts.filter(|(_, attempt)| attempt.is_in_flight());
        in_flight.map(|(number, _)| number as u32)
    }

    /// Number of the last attempt, if there is one.
    pub(crate) fn last_number(&self) -> Option<u32> {
        self.attempts.len().checked_sub(1).map(|last| last as u32)
    }

    /// Time since the last attempt was sent; 0 without one.
    pub(crate) fn last_attempt_age(&self, now: Ms) -> Ms {
        let last = self.attempts.last();
        last.map_or(0.0, |last| now - last.sent_at())
    }

    /// Forecast latency of the last attempt when it was sent; 0 without one.
    pub(crate) fn last_expected_latency(&self) -> Ms {
        let last = self.attempts.last();
        last.map_or(0.0, Attempt::expected_latency)
    }

    /// Whether there is a last attempt and it has ended.
    pub(crate) fn has_last_attempt_ended(&self) -> bool {
        let last = self.attempts.last();
        last.is_some_and(|last| !last.is_in_flight())
    }

    /// Whether any attempt went to this server.
    pub(crate) fn was_sent_to(&self, server: ServerIndex) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| attempt.server() == server)
    }

    /// Whether an attempt is in flight to this server.
    pub(crate) fn is_in_flight_to(&self, server: ServerIndex) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| attempt.server() == server && attempt.is_in_flight())
    }

    /// The first attempt that may have run.
    pub(crate) fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }
}
