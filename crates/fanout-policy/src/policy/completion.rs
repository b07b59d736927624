//! Completion of a query: when to answer it, and when to give it up.
//!
//! [`Completion`] decides from the progress of the query's parts; it has no state of its own.

use super::batch_context::BatchContext;
use super::retry_policy::RetryPolicy;
use super::time_limits::TimeLimits;
use crate::queries::{AnswerKind, InFlightQuery, PartState};

/// Tolerance of sums of part weights, which are rounded in transit.
pub(crate) const SHARE_TOLERANCE: f64 = 5e-5;

/// What to do with a query.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum CompletionDecision {
    /// Wait for more parts.
    Wait,
    /// Answer from the parts that were served.
    Answer(AnswerKind),
    /// End it without an answer.
    GiveUp,
}

/// Weights of the parts of a query's current step.
struct StepProgress {
    /// Weight of the parts that were served.
    served: f64,
    /// Weight of the parts that were served or still can be.
    possible: f64,
}

/// Decides on the end of queries in one batch.
#[derive(Clone, Copy)]
pub(crate) struct Completion<'a> {
    batch: &'a BatchContext<'a>,
    limits: TimeLimits<'a>,
    retries: RetryPolicy<'a>,
}

impl<'a> Completion<'a> {
    /// A decision with this knowledge.
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

    /// What to do with a query now.
    pub(crate) fn decide(&self, query: &InFlightQuery) -> CompletionDecision {
        let progress = self.step_progress(query);
        if self.is_complete(query, &progress) {
            // A query whose first answer was partial stays so after its second step.
            CompletionDecision::Answer(query.first_answer().unwrap_or(AnswerKind::Complete))
        } else if self.should_answer_partially(query, &progress) {
            CompletionDecision::Answer(AnswerKind::Partial)
        } else if self.should_give_up(query, &progress) {
            CompletionDecision::GiveUp
        } else {
            CompletionDecision::Wait
        }
    }

    fn step_progress(&self, query: &InFlightQuery) -> StepProgress {
        let can_be_served = |part: &PartState| self.retries.can_still_complete(query, part);
        StepProgress {
            served: query.step_weight(PartState::is_served),
            possible: query.step_weight(|part| part.is_served() || can_be_served(part)),
        }
    }

    fn is_complete(&self, query: &InFlightQuery, progress: &StepProgress) -> bool {
        let step = query.step_parts();
        let has_required = if query.in_second_step() {
            step.iter().all(PartState::is_served)
        } else {
            progress.served + SHARE_TOLERANCE >= self.batch.class_of(query).required_share
        };
        !step.is_empty() && has_required
    }

    /// Whether to answer from the parts served so far. Before the latency objective each
    /// further part adds to the answer; after it, waiting pays only if the answer can
    /// become complete and earns more then.
    fn should_answer_partially(&self, query: &InFlightQuery, progress: &StepProgress) -> bool {
        let class = self.batch.class_of(query);
        let served = progress.served;
        if served <= 0.0 || served + SHARE_TOLERANCE < class.minimum_share {
            return false;
        }
        // The answer must leave time for a second step that is still to come.
        let reserve = self.limits.second_step_reserve(query);
        let end = self.batch.now + reserve + self.limits.reply_margin();
        end >= query.client_deadline()
            || progress.possible <= served + SHARE_TOLERANCE
            || end >= self.batch.objective_end(query) && !self.is_worth_waiting(query, progress)
    }

    /// Whether a late complete answer can still be given and earns more than a partial answer now.
    fn is_worth_waiting(&self, query: &InFlightQuery, progress: &StepProgress) -> bool {
        let class = self.batch.class_of(query);
        let required = if query.in_second_step() {
            1.0
        } else {
            class.required_share
        };
        // After a partial first answer, a query earns the weight of a partial answer
        // whether its second step is complete or not, so only the share of that step is
        // compared.
        let weight = match query.first_answer() {
            Some(AnswerKind::Partial) => 1.0,
            Some(AnswerKind::Complete) | None => class.partial_weight,
        };
        let earned = weight * progress.served / class.required_share.max(SHARE_TOLERANCE);
        progress.possible + SHARE_TOLERANCE >= required && earned < class.late_weight
    }

    /// Whether the query can no longer earn anything, or may crash the servers that run it.
    fn should_give_up(&self, query: &InFlightQuery, progress: &StepProgress) -> bool {
        let now = self.batch.now;
        let class = self.batch.class_of(query);
        let smallest_answer = class.minimum_share.min(class.required_share);
        // Between the first answer and the arrival of the second step's parts there is
        // nothing to wait for.
        let awaits_parts = query.in_second_step() && query.step_parts().is_empty();
        let is_hopeless = !awaits_parts && progress.possible + SHARE_TOLERANCE < smallest_answer;
        let is_expired = now >= query.client_deadline() - self.limits.reply_margin();
        let is_useless = now >= self.limits.useful_until(query);
        let is_harmful = progress.served == 0.0 && self.retries.is_poison_query(query);
        is_expired || is_hopeless || is_harmful || is_useless
    }
}
