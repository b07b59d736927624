//! Records of a query in flight, its parts and their attempts.

use super::ServerIndex;
use super::server::SentAttempt;
use crate::api::{Ms, Outcome, PartId};

/// Whether the server did not respond to an attempt.
pub(crate) fn got_no_response(outcome: Outcome) -> bool {
    matches!(
        outcome,
        Outcome::TimedOut | Outcome::Unreachable | Outcome::ConnectionLost
    )
}

/// One attempt as its part's record keeps it.
pub(crate) struct Attempt {
    /// Index of the server.
    pub(crate) server: ServerIndex,
    /// When it was sent.
    pub(crate) sent_at: Ms,
    /// Forecast latency when it was sent.
    pub(crate) expected_latency: Ms,
    /// How it ended; `None` while it is in flight.
    pub(crate) outcome: Option<Outcome>,
}

impl Attempt {
    /// Whether it has not ended yet.
    pub(crate) fn is_in_flight(&self) -> bool {
        self.outcome.is_none()
    }

    /// Whether it ended with a broken connection.
    pub(crate) fn lost_connection(&self) -> bool {
        self.outcome == Some(Outcome::ConnectionLost)
    }

    /// Whether the part may have run.
    pub(crate) fn may_have_run(&self) -> bool {
        !matches!(
            self.outcome,
            Some(Outcome::Overloaded | Outcome::Unreachable | Outcome::NotSent)
        )
    }
}

/// An attempt in flight with what is needed to learn from its outcome.
pub(crate) struct InFlightAttempt {
    /// Index of the server.
    pub(crate) server: ServerIndex,
    /// Class of its query.
    pub(crate) class: usize,
    /// Its own work.
    pub(crate) work: Ms,
    /// Work at the server when it was sent, including its own.
    pub(crate) work_ahead: Ms,
    /// When it was sent.
    pub(crate) sent_at: Ms,
    /// Forecast latency when it was sent.
    pub(crate) expected_latency: Ms,
}

impl InFlightAttempt {
    /// The reported duration if it is valid, or else the time since it was sent.
    pub(crate) fn valid_elapsed(&self, elapsed: Ms, now: Ms) -> Ms {
        if elapsed.is_finite() {
            elapsed.max(0.0)
        } else {
            now - self.sent_at
        }
    }

    /// The entry for it in the record of its server.
    pub(crate) fn sent(&self) -> SentAttempt {
        SentAttempt {
            sent_at: self.sent_at,
            expected_latency: self.expected_latency,
        }
    }
}

/// A part of a query in flight.
pub(crate) struct PartState {
    pub(crate) id: PartId,
    pub(crate) shard: usize,
    pub(crate) weight: f64,
    pub(crate) cost_hint: Option<Ms>,
    /// Server of the row that the part was assigned to.
    pub(crate) row_server: Option<ServerIndex>,
    /// Attempts so far, in order.
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) is_served: bool,
    /// Whether the answer is expected to do without it.
    pub(crate) is_deferred: bool,
}

impl PartState {
    /// Whether an attempt is in flight.
    pub(crate) fn has_attempt_in_flight(&self) -> bool {
        self.attempts.iter().any(Attempt::is_in_flight)
    }

    /// Time since the last attempt was sent; 0 without one.
    pub(crate) fn last_attempt_age(&self, now: Ms) -> Ms {
        self.attempts.last().map_or(0.0, |last| now - last.sent_at)
    }

    /// Forecast latency of the last attempt when it was sent; 0 without one.
    pub(crate) fn last_expected_latency(&self) -> Ms {
        self.attempts
            .last()
            .map_or(0.0, |last| last.expected_latency)
    }

    /// Whether there is a last attempt and it has ended.
    pub(crate) fn has_last_attempt_ended(&self) -> bool {
        self.attempts
            .last()
            .is_some_and(|last| !last.is_in_flight())
    }

    /// Number of attempts in flight.
    pub(crate) fn attempts_in_flight(&self) -> usize {
        self.attempts
            .iter()
            .filter(|attempt| attempt.is_in_flight())
            .count()
    }

    /// Whether any attempt went to this server.
    pub(crate) fn was_sent_to(&self, server: ServerIndex) -> bool {
        self.attempts.iter().any(|attempt| attempt.server == server)
    }

    /// Whether an attempt is in flight to this server.
    pub(crate) fn is_in_flight_to(&self, server: ServerIndex) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.server == server && attempt.is_in_flight())
    }

    /// The first attempt that may have run.
    pub(crate) fn first_possible_run(&self) -> Option<&Attempt> {
        self.attempts.iter().find(|attempt| attempt.may_have_run())
    }
}

/// A query that has no final answer yet.
#[derive(Default)]
pub(crate) struct InFlightQuery {
    pub(crate) class: usize,
    pub(crate) tenant: usize,
    pub(crate) group: u64,
    pub(crate) arrived_at: Ms,
    /// When the client first sent the query, as far as is known. The latency objective
    /// counts from here.
    pub(crate) first_sent_at: Ms,
    pub(crate) client_deadline: Ms,
    pub(crate) parts: Vec<PartState>,
    /// Index of the first part of the current step.
    pub(crate) step_start: usize,
    /// Whether the parts of the current step have been assigned to rows.
    pub(crate) is_planned: bool,
    /// Whether the first answer was complete, once a class with a second step has given it.
    pub(crate) first_answer_complete: Option<bool>,
    /// When that first answer was given.
    pub(crate) first_answer_at: Ms,
    /// Forecast latency of the slowest part, made on arrival.
    pub(crate) forecast: Ms,
}

impl InFlightQuery {
    /// Parts of the current step.
    pub(crate) fn step_parts(&self) -> &[PartState] {
        &self.parts[self.step_start..]
    }

    /// Whether the first answer has been given and the second step runs.
    pub(crate) fn in_second_step(&self) -> bool {
        self.first_answer_complete.is_some()
    }

    /// Records the first answer. The second step's parts are those that arrive from now on.
    pub(crate) fn start_second_step(&mut self, now: Ms, complete: bool) {
        self.first_answer_complete = Some(complete);
        self.first_answer_at = now;
        self.step_start = self.parts.len();
    }

    /// Time from the first sending to the first answer; 0 before that answer.
    pub(crate) fn first_step_duration(&self) -> Ms {
        if self.in_second_step() {
            self.first_answer_at - self.first_sent_at
        } else {
            0.0
        }
    }

    /// All attempts of all parts.
    pub(crate) fn attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.parts.iter().flat_map(|part| &part.attempts)
    }

    /// Number of parts that were served.
    pub(crate) fn served_parts(&self) -> usize {
        self.parts.iter().filter(|part| part.is_served).count()
    }

    /// Total weight of the parts of the current step that satisfy a predicate.
    pub(crate) fn step_weight(&self, counts: impl Fn(&PartState) -> bool) -> f64 {
        self.step_parts()
            .iter()
            .filter(|part| counts(part))
            .map(|part| part.weight)
            .sum()
    }
}

/// Weights of the parts of a query's current step.
pub(crate) struct StepProgress {
    /// Weight of the parts that were served.
    pub(crate) served: f64,
    /// Weight of the parts that were served or still can be.
    pub(crate) possible: f64,
    /// Whether the query may crash the servers that run it.
    pub(crate) is_poison: bool,
}

/// Forecast for the parts of a query, each at its best holder.
#[derive(Default)]
pub(crate) struct QueryForecast {
    /// Mean latency.
    pub(crate) mean: Ms,
    /// Latency of the slowest part.
    pub(crate) slowest: Ms,
    /// Total work.
    pub(crate) work: Ms,
}

/// Forecast latency of a part at the server of its row.
pub(crate) struct PartForecast {
    /// Index of the part.
    pub(crate) part: usize,
    /// Its latency.
    pub(crate) latency: Ms,
}

/// A server that an attempt for a part may go to.
pub(crate) struct Candidate {
    /// Index of the server.
    pub(crate) server: ServerIndex,
    /// Forecast latency with the penalty for crossing zones.
    pub(crate) score: Ms,
    /// Whether it may be selected without need.
    pub(crate) is_eligible: bool,
}
