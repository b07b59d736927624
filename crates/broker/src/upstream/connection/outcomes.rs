//! The outcomes of all attempts in flight on a connection that was lost or on which the server has
//! violated the protocol.

use super::super::attempt::AttemptOutcome;
use super::ServerConnection;
use broker_types::query::AttemptId;
use broker_types::server::Outcome;
use std::collections::BTreeSet;

impl ServerConnection {
    /// Returns the outcomes of all attempts in flight after the connection was lost.
    ///
    /// A part whose frame was not written completely never ran; any other part may have run. An
    /// unwritten attempt ends as unreachable only if the connection was never established. If it
    /// was established, its loss does not show whether the server is reachable, so the attempt ends
    /// as not sent.
    pub(in crate::upstream) fn outcomes_after_loss(&self) -> Vec<AttemptOutcome> {
        let unwritten = self.unwritten_attempts();
        let outcome_of_unwritten = if self.send_queue().was_connected() {
            Outcome::NotSent
        } else {
            Outcome::Unreachable
        };
        let with_outcome = |attempt| {
            let outcome = if unwritten.contains(&attempt) {
                outcome_of_unwritten
            } else {
                Outcome::ConnectionLost
            };
            AttemptOutcome { attempt, outcome }
        };
        self.attempts().map(with_outcome).collect()
    }

    /// Returns the outcomes of all attempts in flight after the server has violated the protocol.
    /// `oldest_first` contains all attempts in flight, in the order in which they were assigned.
    ///
    /// The violation is one failure of the server, so only the oldest sent attempt ends with an
    /// error. The other sent attempts end as cancelled: this outcome counts neither as a further
    /// failure of the server nor as a failure of their queries, and it does not deny that their
    /// parts may have run. Attempts whose frames were not written completely end as not sent.
    ///
    /// If no attempt is in flight, the server sent surplus data after a complete response, and no
    /// attempt fails.
    pub(in crate::upstream) fn outcomes_after_violation(
        &self,
        oldest_first: Vec<AttemptId>,
    ) -> Vec<AttemptOutcome> {
        let unwritten = self.unwritten_attempts();
        let mut outcome_of_sent = Outcome::Error;
        let with_outcome = |attempt| {
            let outcome = if unwritten.contains(&attempt) {
                Outcome::NotSent
            } else {
                std::mem::replace(&mut outcome_of_sent, Outcome::Cancelled)
            };
            AttemptOutcome { attempt, outcome }
        };
        oldest_first.into_iter().map(with_outcome).collect()
    }

    /// Returns the attempts in flight whose frames were not written completely.
    fn unwritten_attempts(&self) -> BTreeSet<AttemptId> {
        let unwritten = self.send_queue().unwritten_parts();
        let wire_ids = unwritten.iter();
        wire_ids
            .filter_map(|wire_id| self.outstanding.attempt(wire_id))
            .collect()
    }
}
