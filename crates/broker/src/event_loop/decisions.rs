//! Queries handed to the policy, and the execution of its decisions.

use super::{Completed, EventLoop};
use crate::event_queue::ReceivedQuery;
use crate::queries::DispatchError;
use crate::upstream::{EndedAttempt, OutgoingAttempt};
use broker_types::query::{AttemptId, FinalResponse};
use broker_types::server::Outcome;
use broker_types::time::Timestamp;
use policy_engine::{Decisions, Dispatch, FinishedQuery, QueryOutcome};
use tracing::warn;

impl EventLoop {
    /// Submits the received queries that are admitted.
    pub(super) fn submit_queries(&mut self, now: Timestamp, received: Vec<ReceivedQuery>) {
        let admitted = received
            .into_iter()
            .filter_map(|query| self.queries.admit(now, query))
            .collect();
        let decisions = self.policy.submit(now, admitted);
        self.execute(now, decisions);
    }

    /// Lets the policy act on the time that has passed.
    pub(super) fn poll_policy(&mut self, now: Timestamp) {
        let decisions = self.policy.poll(now);
        self.execute(now, decisions);
    }

    /// Executes decisions. Attempts to be sent are collected until the end of the iteration.
    pub(super) fn execute(&mut self, now: Timestamp, decisions: Decisions) {
        self.log_capacity(&decisions);
        for attempt in decisions.cancellations {
            self.cancel_attempt(now, attempt);
        }
        for finished in decisions.finished {
            self.finish_query(now, finished);
        }
        let dispatches = decisions.dispatches.into_iter();
        self.dispatches
            .extend(dispatches.map(|dispatch| (dispatch.attempt, dispatch)));
    }

    fn log_capacity(&self, decisions: &Decisions) {
        if decisions.over_capacity > 0 {
            warn!(
                name: "capacity_exhausted",
                queries = decisions.over_capacity,
                in_flight = self.policy.in_flight()
            );
        }
        if decisions.expired > 0 {
            warn!(name: "queries_expired", queries = decisions.expired);
        }
    }

    fn cancel_attempt(&mut self, now: Timestamp, attempt: AttemptId) {
        if self.dispatches.remove(&attempt).is_some() {
            self.end_unsent(attempt);
        } else {
            self.servers.cancel(now, attempt);
        }
    }

    /// Records that an attempt ended without having been sent.
    fn end_unsent(&mut self, attempt: AttemptId) {
        self.unsent_attempts
            .push(EndedAttempt::unsent(attempt, Outcome::NotSent));
    }

    fn finish_query(&mut self, now: Timestamp, finished: FinishedQuery) {
        let FinishedQuery { query, outcome } = finished;
        self.completed.push(Completed { query, part: None });
        self.queries.finish(now, query, |values| match outcome {
            QueryOutcome::Rejected { retry_after } => FinalResponse::Rejected { retry_after },
            QueryOutcome::Failed => FinalResponse::Failed,
            QueryOutcome::Answered { is_complete } => FinalResponse::Answered {
                is_complete,
                values,
            },
        });
    }

    /// Cancels the unsent attempts of what was completed in this iteration.
    pub(super) fn cancel_completed(&mut self, now: Timestamp) {
        for Completed { query, part } in std::mem::take(&mut self.completed) {
            self.servers.cancel_unsent(now, query, part);
        }
    }

    /// Sends the attempts that were dispatched in this iteration.
    pub(super) fn send_dispatches(&mut self, now: Timestamp) {
        let attempts = std::mem::take(&mut self.dispatches)
            .into_values()
            .filter_map(|dispatch| self.prepare_attempt(now, dispatch))
            .collect();
        self.servers.send_attempts(now, attempts);
    }

    /// Completes a dispatch with what its frame needs. Returns `None` if it must not be sent.
    fn prepare_attempt(&mut self, now: Timestamp, dispatch: Dispatch) -> Option<OutgoingAttempt> {
        let attempt = dispatch.attempt;
        match self.queries.prepare_attempt(now, dispatch) {
            Ok(outgoing) => return Some(outgoing),
            Err(DispatchError::QueryFinished) => {}
            Err(DispatchError::IdempotencyWindowClosed) => {
                // An earlier query with the same key may have executed this part. The query can neither be served nor
                // be rejected as if nothing had been executed.
                self.policy.abandon(attempt.query);
                self.queries
                    .finish(now, attempt.query, |_| FinalResponse::Failed);
            }
        }
        self.end_unsent(attempt);
        None
    }
}
