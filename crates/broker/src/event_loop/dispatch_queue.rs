//! The attempts that wait for the end of an iteration to be sent.
//!
//! [`DispatchQueue`] owns an attempt from its dispatch by the policy until it is handed to the
//! server pools or ends unsent.

use crate::upstream::EndedAttempt;
use broker_types::query::AttemptId;
use broker_types::server::Outcome;
use policy_engine::Dispatch;
use std::collections::BTreeMap;

/// Attempts that the policy has dispatched in this iteration, and those that ended before they were
/// handed to the server pools. The former are sent, or become the latter; these are reported in the
/// next iteration.
#[derive(Default)]
pub(super) struct DispatchQueue {
    /// Attempts to be sent at the end of the iteration, unless they are cancelled before.
    dispatches: BTreeMap<AttemptId, Dispatch>,
    /// Attempts that were not sent and have not been reported.
    unsent: Vec<EndedAttempt>,
}

/// What became of the cancellation of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Cancellation {
    /// The attempt was waiting, and has ended without being sent.
    Unsent,
    /// The attempt is not waiting: it may be with the server pools.
    NotWaiting,
}

impl DispatchQueue {
    /// Adds attempts to be sent.
    pub(super) fn extend(&mut self, dispatches: Vec<Dispatch>) {
        let dispatches = dispatches.into_iter();
        self.dispatches
            .extend(dispatches.map(|dispatch| (dispatch.attempt, dispatch)));
    }

    /// Cancels an attempt that waits to be sent.
    pub(super) fn cancel(&mut self, attempt: AttemptId) -> Cancellation {
        if self.dispatches.remove(&attempt).is_none() {
            return Cancellation::NotWaiting;
        }
        self.end_unsent(attempt);
        Cancellation::Unsent
    }

    /// Records that an attempt ended without having been sent.
    pub(super) fn end_unsent(&mut self, attempt: AttemptId) {
        self.unsent
            .push(EndedAttempt::unsent(attempt, Outcome::NotSent));
    }

    /// Removes and returns the attempts to be sent, in the order of their ids.
    pub(super) fn take_dispatches(&mut self) -> impl Iterator<Item = Dispatch> + use<> {
        std::mem::take(&mut self.dispatches).into_values()
    }

    /// Removes and returns the attempts that ended without having been sent.
    pub(super) fn take_unsent(&mut self) -> Vec<EndedAttempt> {
        std::mem::take(&mut self.unsent)
    }

    /// Returns whether attempts that ended without having been sent wait to be reported.
    pub(super) fn has_unsent(&self) -> bool {
        !self.unsent.is_empty()
    }
}

#[cfg(test)]
mod tests;
