//! The queue of attempts that are sent at the end of an iteration.
//!
//! [`DispatchQueue`] owns an attempt from its dispatch by the policy until the attempt is passed to
//! the server pools. If the attempt ends before that, the queue owns it until the end is reported
//! to the policy.

use crate::upstream::EndedAttempt;
use broker_types::query::AttemptId;
use broker_types::server::Outcome;
use policy_engine::Dispatch;
use std::collections::BTreeMap;

/// The attempts that the policy has dispatched in this iteration, and the attempts that ended
/// before they were passed to the server pools. Each dispatched attempt is either sent at the end
/// of the iteration or ends without being sent. The latter is reported to the policy in the next
/// iteration.
#[derive(Default)]
pub(super) struct DispatchQueue {
    /// Attempts that are sent at the end of the iteration unless they are cancelled before.
    dispatches: BTreeMap<AttemptId, Dispatch>,
    /// Attempts that ended without having been sent and have not been reported to the policy.
    ended_unsent: Vec<EndedAttempt>,
}

/// The result of cancelling an attempt in the [`DispatchQueue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Cancellation {
    /// The attempt was waiting in the queue, and has ended without having been sent.
    EndedUnsent,
    /// The attempt is not in the queue. It may have been passed to the server pools.
    NotQueued,
}

impl DispatchQueue {
    /// Adds attempts that are to be sent at the end of the iteration.
    pub(super) fn extend(&mut self, dispatches: Vec<Dispatch>) {
        let dispatches = dispatches.into_iter();
        self.dispatches
            .extend(dispatches.map(|dispatch| (dispatch.attempt, dispatch)));
    }

    /// Cancels an attempt if it waits in the queue.
    pub(super) fn cancel(&mut self, attempt: AttemptId) -> Cancellation {
        if self.dispatches.remove(&attempt).is_none() {
            return Cancellation::NotQueued;
        }
        self.record_ended_unsent(attempt);
        Cancellation::EndedUnsent
    }

    /// Records that an attempt ended without having been sent.
    pub(super) fn record_ended_unsent(&mut self, attempt: AttemptId) {
        self.ended_unsent
            .push(EndedAttempt::unsent(attempt, Outcome::NotSent));
    }

    /// Removes the attempts that wait to be sent, and returns them in the order of their ids.
    pub(super) fn take_dispatches(&mut self) -> impl Iterator<Item = Dispatch> + use<> {
        std::mem::take(&mut self.dispatches).into_values()
    }

    /// Removes and returns the attempts that ended without having been sent, so that they can be
    /// reported to the policy.
    pub(super) fn take_ended_unsent(&mut self) -> Vec<EndedAttempt> {
        std::mem::take(&mut self.ended_unsent)
    }

    /// Returns whether there are attempts that ended without having been sent and have not been
    /// reported.
    pub(super) fn has_ended_unsent(&self) -> bool {
        !self.ended_unsent.is_empty()
    }
}

#[cfg(test)]
mod tests;
