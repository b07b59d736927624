//! Decides when a query is answered and when it is given up. A query of a class with a second step
//! is answered once in each step.
//!
//! [`Completion`] decides from the progress of the query's parts. It has no state of its own.

use super::batch_context::BatchContext;
use super::retry_policy::RetryPolicy;
use super::time_limits::TimeLimits;
use crate::queries::{AnswerKind, InFlightQuery, PartState};

/// Tolerance in comparisons of sums of part weights. The weights are rounded in transit, so that
/// their sums are inexact.
pub(crate) const SHARE_TOLERANCE: f64 = 5e-5;

/// Decision whether a query ends in the current batch, and how.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CompletionDecision {
    /// Keep the query in flight and wait for more parts.
    Wait,
    /// Answer the query from the parts that were served.
    Answer(AnswerKind),
    /// End the query without an answer.
    GiveUp,
}

/// Progress of a query's current step, as sums of part weights.
struct StepProgress {
    /// Total weight of the parts that were served.
    served: f64,
    /// Total weight of the parts that were served or may still be served.
    possible: f64,
}

/// Decides which queries end in one batch, and how.
#[derive(Clone, Copy)]
pub(crate) struct Completion<'a> {
    batch: &'a BatchContext<'a>,
    limits: TimeLimits<'a>,
    retries: RetryPolicy<'a>,
}

impl<'a> Completion<'a> {
    /// Creates the completion rules for the current batch.
    pub(crate) fn new(
        batch: &'a BatchContext<'a>,
        limits: TimeLimits<'a>,
        retries: RetryPolicy<'a>,
    ) -> Self {
        Completion {
            batch,
            limits,
            retries,
        }
    }

    /// Decides whether a query ends now, and how.
    pub(crate) fn decide(&self, query: &InFlightQuery) -> CompletionDecision {
        let progress = self.step_progress(query);
        if self.is_complete(query, &progress) {
            // If the answer to the first step was partial, the answer to the second step is partial
            // too, even with all parts of the second step.
            CompletionDecision::Answer(query.first_answer().unwrap_or(AnswerKind::Complete))
        } else if self.should_answer_partially(query, &progress) {
            CompletionDecision::Answer(AnswerKind::Partial)
        } else if self.should_give_up(query, &progress) {
            CompletionDecision::GiveUp
        } else {
            CompletionDecision::Wait
        }
    }

    /// Computes the progress of the current step.
    fn step_progress(&self, query: &InFlightQuery) -> StepProgress {
        let can_be_served = |part: &PartState| self.retries.can_still_complete(query, part);
        StepProgress {
            served: query.step_weight(PartState::is_served),
            possible: query.step_weight(|part| part.is_served() || can_be_served(part)),
        }
    }

    /// Returns whether the current step has the parts that a complete answer needs: the required
    /// share in the first step, all parts in the second. `false` while the step has no parts.
    fn is_complete(&self, query: &InFlightQuery, progress: &StepProgress) -> bool {
        let step = query.step_parts();
        let has_required = if query.in_second_step() {
            step.iter().all(PartState::is_served)
        } else {
            progress.served + SHARE_TOLERANCE >= self.batch.class_of(query).required_share
        };
        !step.is_empty() && has_required
    }

    /// Returns whether to answer now with the parts served so far, which must reach the minimum
    /// share of the class.
    ///
    /// Before the latency objective ends, the query waits for further parts, since each of them
    /// adds to the answer. After that it waits only if the answer can still become complete and
    /// a late complete answer has more weight than the partial answer has now. It never waits
    /// past the client's deadline, or if no further part can be served.
    fn should_answer_partially(&self, query: &InFlightQuery, progress: &StepProgress) -> bool {
        let class = self.batch.class_of(query);
        let served = progress.served;
        if served <= 0.0 || served + SHARE_TOLERANCE < class.minimum_share {
            return false;
        }
        // If a second step follows, the first answer must leave enough time for it.
        let reserve = self.limits.second_step_reserve(query);
        let end = self.batch.now + reserve + self.limits.reply_margin();
        end >= query.client_deadline()
            || progress.possible <= served + SHARE_TOLERANCE
            || end >= self.batch.objective_end(query) && !self.is_worth_waiting(query, progress)
    }

    /// Returns whether the current step can still become complete and a late complete answer
    /// would have more weight than the partial answer that can be given now.
    fn is_worth_waiting(&self, query: &InFlightQuery, progress: &StepProgress) -> bool {
        let class = self.batch.class_of(query);
        let required_for_step = if query.in_second_step() {
            1.0
        } else {
            class.required_share
        };
        // After a partial first answer, the second answer counts as partial even if its own step
        // is complete. The partial weight is then a factor of both weights that are compared: that
        // of an answer now, and that of a late one. It is left out of the comparison.
        let partial_weight = match query.first_answer() {
            Some(AnswerKind::Partial) => 1.0,
            Some(AnswerKind::Complete) | None => class.partial_weight,
        };
        // The weight of a partial answer is computed as described at `Class::partial_weight`, with
        // the required share of the class in both steps, but without the priority weight, which
        // `late_weight` does not include either. The lower bound prevents a division by zero.
        let required_share = class.required_share.max(SHARE_TOLERANCE);
        let partial_answer_weight = partial_weight * progress.served / required_share;
        let can_complete = progress.possible + SHARE_TOLERANCE >= required_for_step;
        can_complete && partial_answer_weight < class.late_weight
    }

    /// Returns whether to end the query without an answer. This is so in each of these cases:
    ///
    /// - An answer would reach the client too late to be useful, or after the client's deadline.
    /// - The parts that may still be served are too few for any answer.
    /// - No part of the current step has been served, and the query is a poison query: it seems
    ///   to crash the servers that run it.
    fn should_give_up(&self, query: &InFlightQuery, progress: &StepProgress) -> bool {
        let now = self.batch.now;
        let class = self.batch.class_of(query);
        let min_answer_share = class.minimum_share.min(class.required_share);
        // Until the parts of the second step have arrived, their weight is 0, which does not mean
        // that the step cannot be answered.
        let awaits_parts = query.in_second_step() && query.step_parts().is_empty();
        let cannot_reach_minimum =
            !awaits_parts && progress.possible + SHARE_TOLERANCE < min_answer_share;
        let is_past_client_deadline = now >= query.client_deadline() - self.limits.reply_margin();
        let is_answer_too_late = now >= self.limits.useful_until(query);
        let is_poison = progress.served == 0.0 && self.retries.is_poison_query(query);
        is_past_client_deadline || cannot_reach_minimum || is_poison || is_answer_too_late
    }
}
