//! Reports of ended attempts from the server pools to the query table and the policy.

use super::{Completed, EventLoop};
use crate::upstream::EndedAttempt;
use broker_types::server::Outcome;
use broker_types::time::Timestamp;
use policy_engine::AttemptReport;

impl EventLoop {
    /// Reports the attempts that ended since the last iteration.
    ///
    /// An iteration begins with these, time-outs included. The policy ends a query at the moment at which its attempts
    /// time out. If it did so first, it would cancel them and never learn that their servers are silent.
    pub(super) fn report_ended_attempts(&mut self, now: Timestamp) {
        let mut ended = std::mem::take(&mut self.unsent_attempts);
        ended.extend(self.servers.take_ended_attempts(now));
        let reports = ended
            .into_iter()
            .map(|attempt| self.on_attempt_ended(now, attempt))
            .collect();
        let decisions = self.policy.on_attempts_ended(now, reports);
        self.execute(now, decisions);
    }

    /// Moves an attempt's value to its query and returns the report for the policy.
    fn on_attempt_ended(&mut self, now: Timestamp, mut ended: EndedAttempt) -> AttemptReport {
        self.queries.on_attempt_ended(now, &mut ended);
        if ended.outcome == Outcome::Served {
            self.completed.push(Completed {
                query: ended.attempt.query,
                part: Some(ended.attempt.part),
            });
        }
        AttemptReport {
            attempt: ended.attempt,
            outcome: ended.outcome,
            elapsed: ended.elapsed,
            load: ended.requests_in_flight,
        }
    }
}
