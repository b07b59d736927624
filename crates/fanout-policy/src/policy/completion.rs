//! Completion of a query: when to answer, to reject or to fail it.

use super::tuning::{MIN_LATE_WEIGHT, REPLY_TICKS, SHARE_TOLERANCE};
use crate::aggregator::Aggregator;
use crate::api::{Ms, QueryId};
use crate::state::{InFlightQuery, PartState, StepProgress};

impl Aggregator {
    /// Gives the final answer if it is time for it. Returns whether the query has ended.
    pub(crate) fn try_complete(&mut self, id: &QueryId, query: &mut InFlightQuery) -> bool {
        let progress = self.step_progress(query);
        if self.is_complete(query, &progress) {
            return self.answer(id, query, query.first_answer_complete.unwrap_or(true));
        }
        if self.should_answer_partially(query, &progress) {
            return self.answer(id, query, false);
        }
        if self.should_give_up(query, &progress) {
            return self.end_without_answer(id, query);
        }
        false
    }

    fn step_progress(&self, query: &InFlightQuery) -> StepProgress {
        let is_poison = self.is_poison_query(query);
        let can_be_served = |part: &PartState| self.can_still_complete(query, part, is_poison);
        StepProgress {
            served: query.step_weight(|part| part.is_served),
            possible: query.step_weight(|part| part.is_served || can_be_served(part)),
            is_poison,
        }
    }

    fn is_complete(&self, query: &InFlightQuery, progress: &StepProgress) -> bool {
        let step = query.step_parts();
        let has_required = if query.in_second_step() {
            step.iter().all(|part| part.is_served)
        } else {
            progress.served + SHARE_TOLERANCE >= self.class_of(query).required_share
        };
        !step.is_empty() && has_required
    }

    /// Whether a part that was not served may still be.
    fn can_still_complete(&self, query: &InFlightQuery, part: &PartState, is_poison: bool) -> bool {
        let may_send = part.attempts.is_empty() || !is_poison && self.may_repeat(query, part);
        let can_send = (part.attempts.len() as u32) < self.settings.max_attempts && may_send;
        let has_holders = !self.fleet.rows.holders(part.shard).is_empty();
        part.has_attempt_in_flight() || (can_send && has_holders)
    }

    /// Whether to answer from the parts served so far. Before the latency objective each
    /// further part adds to the answer; after it, waiting pays only if the answer can
    /// become complete and earns more then.
    fn should_answer_partially(&self, query: &InFlightQuery, progress: &StepProgress) -> bool {
        let class = self.class_of(query);
        let served = progress.served;
        if served <= 0.0 || served + SHARE_TOLERANCE < class.minimum_share {
            return false;
        }
        // After a partial first answer both ways earn its share, so that only the second
        // step counts.
        let is_partial = query.first_answer_complete == Some(false);
        let weight = if is_partial {
            1.0
        } else {
            class.partial_weight
        };
        let earned = weight * served / class.required_share.max(SHARE_TOLERANCE);
        let is_second = query.in_second_step();
        let required = if is_second { 1.0 } else { class.required_share };
        let can_be_complete = progress.possible + SHARE_TOLERANCE >= required;
        // A first answer must leave time for the second step.
        let end = self.now + self.second_step_reserve(query) + self.reply_margin();
        let is_late = end >= self.objective_end(query);
        let waiting_is_useless = is_late && (!can_be_complete || earned >= class.late_weight);
        end >= query.client_deadline
            || waiting_is_useless
            || progress.possible <= served + SHARE_TOLERANCE
    }

    /// Whether the query can no longer earn anything, or may crash the servers that run it.
    fn should_give_up(&self, query: &InFlightQuery, progress: &StepProgress) -> bool {
        let class = self.class_of(query);
        let smallest_answer = class.minimum_share.min(class.required_share);
        // Between the first answer and the arrival of the second step's parts there is
        // nothing to wait for.
        let awaits_parts = query.in_second_step() && query.step_parts().is_empty();
        let is_hopeless = !awaits_parts && progress.possible + SHARE_TOLERANCE < smallest_answer;
        let is_harmful = progress.is_poison && progress.served == 0.0;
        let is_expired = self.now >= query.client_deadline - self.reply_margin();
        is_expired || is_hopeless || is_harmful || self.now >= self.useful_until(query)
    }

    /// Time reserved for the reply to reach the client.
    fn reply_margin(&self) -> Ms {
        REPLY_TICKS * self.settings.tick
    }

    /// Until when an answer still earns something.
    pub(crate) fn useful_until(&self, query: &InFlightQuery) -> Ms {
        let class = self.class_of(query);
        let mut end = query.client_deadline;
        if class.late_weight <= MIN_LATE_WEIGHT * (1.0 - self.load_visibility()) {
            end = end.min(self.objective_end(query));
        }
        end - self.reply_margin()
    }

    /// Time to reserve for a second step that is still to come.
    pub(crate) fn second_step_reserve(&self, query: &InFlightQuery) -> Ms {
        let is_ahead = self.class_of(query).has_second_step && !query.in_second_step();
        let duration = self.classes[query.class].second_step_duration;
        if is_ahead { duration } else { 0.0 }
    }

    /// Time within the latency objective that is left for the current step.
    pub(crate) fn step_objective(&self, query: &InFlightQuery) -> Ms {
        let time_left = self.objective(query) - query.first_step_duration();
        (time_left - self.second_step_reserve(query)).max(self.settings.tick)
    }

    /// Ends a query without an answer: rejected where a retry is safe, failed otherwise.
    pub(crate) fn end_without_answer(&mut self, id: &QueryId, query: &InFlightQuery) -> bool {
        let retry_after = self.retry_after(query);
        if self.is_retry_safe(query, retry_after) {
            self.reject(id, query, retry_after)
        } else {
            self.fail(id, query)
        }
    }
}
