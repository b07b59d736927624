//! One part of a query in flight.

use super::{Attempt, InFlightAttempt};
use crate::api::{Ms, Outcome, Part, PartId};
use crate::fleet::ServerIndex;

/// State of one part of a query in flight.
pub(crate) struct PartState {
    id: PartId,
    shard: usize,
    weight: f64,
    cost_hint: Option<Ms>,
    /// Server that holds the part's shard in the row that the part is assigned to.
    row_server: Option<ServerIndex>,
    /// Attempts so far, in order of sending. The number of an attempt is its index here.
    attempts: Vec<Attempt>,
    is_served: bool,
    /// Whether the part is deferred, see [`PartState::defer`].
    is_deferred: bool,
}

impl PartState {
    /// Creates the state of a part that has arrived. A weight that is negative or not finite counts
    /// as 0. A cost hint that is not a finite positive number is ignored.
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

    /// Returns the identifier of the part.
    pub(crate) fn id(&self) -> &PartId {
        &self.id
    }

    /// Returns the number of the shard that the part reads.
    pub(crate) fn shard(&self) -> usize {
        self.shard
    }

    /// Returns the weight of the part in the answer.
    pub(crate) fn weight(&self) -> f64 {
        self.weight
    }

    /// Returns the approximate work of the part; `None` without a valid hint.
    pub(crate) fn cost_hint(&self) -> Option<Ms> {
        self.cost_hint
    }

    /// Returns the server that holds the part's shard in the row that the part is assigned to.
    /// `None` if the part is not assigned yet or no server holds its shard.
    pub(crate) fn row_server(&self) -> Option<ServerIndex> {
        self.row_server
    }

    /// Assigns the part to a replica row. `row_server` is the server that holds the part's shard in
    /// that row, `None` if no server holds the shard.
    pub(crate) fn assign(&mut self, row_server: Option<ServerIndex>) {
        self.row_server = row_server;
    }

    /// Returns whether an attempt for the part was served.
    pub(crate) fn is_served(&self) -> bool {
        self.is_served
    }

    /// Returns whether the part is deferred, see [`PartState::defer`].
    pub(crate) fn is_deferred(&self) -> bool {
        self.is_deferred
    }

    /// Defers the part, since the answer can be complete without it: it is not sent until the last
    /// attempt for another part of the query is overdue, or has ended and that part was not served.
    pub(crate) fn defer(&mut self) {
        self.is_deferred = true;
    }

    /// Returns the attempts so far, in order of sending.
    pub(crate) fn attempts(&self) -> &[Attempt] {
        &self.attempts
    }

    /// Records an attempt that is being sent, and returns its number: its index among the attempts
    /// of the part.
    pub(crate) fn record_send(&mut self, attempt: &InFlightAttempt) -> u32 {
        self.attempts.push(Attempt::sent(attempt));
        self.attempts.len() as u32 - 1
    }

    /// Records the outcome of the attempt with the number `number`. An unknown number is ignored.
    pub(crate) fn record_outcome(&mut self, number: u32, outcome: Outcome) {
        if let Some(attempt) = self.attempts.get_mut(number as usize) {
            attempt.record_outcome(outcome);
            self.is_served |= outcome == Outcome::Served;
        }
    }

    /// Returns whether fewer than `max_attempts` attempts have been sent.
    pub(crate) fn has_attempts_left(&self, max_attempts: u32) -> bool {
        (self.attempts.len() as u32) < max_attempts
    }

    /// Returns whether at least one attempt is in flight.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Returns the number of attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> usize {
        let in_flight = self
            .attempts
            .iter()
            .filter(|attempt| attempt.is_in_flight());
        in_flight.count()
    }

    /// Returns the numbers of the attempts in flight.
    pub(crate) fn in_flight_numbers(&self) -> impl Iterator<Item = u32> {
        let attempts = self.attempts.iter().enumerate();
        let in_flight = attempts.filter(|(_, attempt)| attempt.is_in_flight());
        in_flight.map(|(number, _)| number as u32)
    }

    /// Returns the number of the last attempt; `None` if none was sent.
    pub(crate) fn last_number(&self) -> Option<u32> {
        self.attempts.len().checked_sub(1).map(|last| last as u32)
    }

    /// Returns the time since the last attempt was sent; 0 if none was sent.
    pub(crate) fn last_attempt_age(&self, now: Ms) -> Ms {
        let last = self.attempts.last();
        last.map_or(0.0, |last| now - last.sent_at())
    }

    /// Returns the latency that was forecast for the last attempt when it was sent; 0 if none was
    /// sent.
    pub(crate) fn last_expected_latency(&self) -> Ms {
        let last = self.attempts.last();
        last.map_or(0.0, Attempt::expected_latency)
    }

    /// Returns whether an attempt was sent and the last one has ended.
    pub(crate) fn has_last_attempt_ended(&self) -> bool {
        let last = self.attempts.last();
        last.is_some_and(|last| !last.is_in_flight())
    }

    /// Returns whether any attempt was sent to this server.
    pub(crate) fn was_sent_to(&self, server: ServerIndex) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| attempt.server() == server)
    }

    /// Returns whether an attempt to this server is in flight.
    pub(crate) fn is_in_flight_to(&self, server: ServerIndex) -> bool {
        let mut attempts = self.attempts.iter();
        attempts.any(|attempt| attempt.server() == server && attempt.is_in_flight())
    }

    /// Returns the first attempt that the server may have executed; `None` if there is none.
    pub(crate) fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }
}
