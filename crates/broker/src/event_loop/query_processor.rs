//! Processes queries from their admission to their one final response: submits them to the policy,
//! executes the policy's decisions and reports ended attempts to the policy.
//!
//! [`QueryProcessor`] owns the policy, the table of clients' queries, the dispatch queue and the
//! server pools. The table removes a query when it ends. The state of an attempt is removed by the
//! server pools or, if the attempt was not passed to them, by the dispatch queue.

use super::dispatch_queue::{Cancellation, DispatchQueue};
use super::policy_report::PolicyReporter;
use crate::event_queue::{ConnectionEvent, ReceivedQuery, ServerConnectionId};
use crate::queries::{ClientQueries, DispatchError};
use crate::upstream::{EndedAttempt, OutgoingAttempt, ServerPools};
use broker_types::query::{AttemptId, FinalResponse, PartIndex, QueryId};
use broker_types::server::{EndpointList, ListScope, NodeId, Outcome, ServerInfo, ServingState};
use broker_types::time::Timestamp;
use policy_engine::{
    AttemptReport, Decisions, Dispatch, FinishedQuery, PolicyEngine, QueryOutcome,
};
use std::collections::BTreeSet;
use tracing::warn;

/// The policy and the components that execute its decisions.
pub(super) struct QueryProcessor {
    policy: PolicyEngine,
    policy_reporter: PolicyReporter,
    queries: ClientQueries,
    servers: ServerPools,
    dispatches: DispatchQueue,
    /// Queries that ended and parts that were served in this iteration. At the end of the
    /// iteration, their unsent attempts that the policy has not cancelled are withdrawn. The policy
    /// cancels attempts only if the settings allow it, but an unsent attempt may always be
    /// withdrawn, because it never reaches a server.
    completed: Vec<CompletedQueryOrPart>,
}

/// A query that has ended, or a part that was served. None of its unsent attempts is needed.
struct CompletedQueryOrPart {
    query: QueryId,
    /// The part that was served; `None` if the whole query has ended.
    part: Option<PartIndex>,
}

impl QueryProcessor {
    /// Creates a processor without queries.
    pub(super) fn new(policy: PolicyEngine, queries: ClientQueries, servers: ServerPools) -> Self {
        QueryProcessor {
            policy,
            policy_reporter: PolicyReporter::new(),
            queries,
            servers,
            dispatches: DispatchQueue::default(),
            completed: Vec::new(),
        }
    }

    /// Returns the number of clients' queries in flight.
    pub(super) fn queries_in_flight(&self) -> usize {
        self.queries.in_flight()
    }

    /// Passes an endpoint list, or the changes to it, to the policy and to the server pools, so
    /// that both use it from the same iteration on. `servers` holds the entries of `list`, in the
    /// same order, in the form that the policy takes.
    pub(super) fn update_endpoints(
        &mut self,
        now: Timestamp,
        scope: ListScope,
        list: &EndpointList,
        servers: Vec<ServerInfo>,
    ) {
        if scope != ListScope::Delta {
            self.remove_unlisted_servers(now, &servers);
        }
        for (server, endpoint) in servers.iter().zip(&list.endpoints) {
            let address = endpoint
                .address
                .filter(|_| server.state == ServingState::Serving);
            self.servers.set_endpoint(now, &server.name, address);
        }
        self.policy.update_endpoints(scope, servers);
    }

    /// Stops sending to the servers that are missing from a full endpoint list.
    fn remove_unlisted_servers(&mut self, now: Timestamp, listed: &[ServerInfo]) {
        let listed: BTreeSet<&NodeId> = listed.iter().map(|server| &server.name).collect();
        for name in self.servers.serving() {
            if !listed.contains(&name) {
                self.servers.set_endpoint(now, &name, None);
            }
        }
    }

    /// Handles an event of a connection to a data server.
    pub(super) fn on_server_event(
        &mut self,
        now: Timestamp,
        connection: ServerConnectionId,
        event: ConnectionEvent,
    ) {
        self.servers.on_connection_event(now, connection, event);
        for attempt in self.servers.take_revoked() {
            self.fail_query_with_revoked_value(now, attempt);
        }
    }

    /// Fails the query of an attempt whose value can no longer be relied on. Does nothing if the
    /// query has ended before. The query cannot be rejected, because its parts may have run.
    fn fail_query_with_revoked_value(&mut self, now: Timestamp, attempt: AttemptId) {
        if !self.queries.is_in_flight(attempt.query) {
            return;
        }
        warn!(name: "part_value_revoked", query = attempt.query.0, part = attempt.part.0);
        self.policy.abandon(attempt.query);
        self.finish_query(
            now,
            FinishedQuery {
                query: attempt.query,
                outcome: QueryOutcome::Failed,
            },
        );
    }

    /// Ends a query whose client has disconnected. Does nothing if the query has ended before.
    pub(super) fn on_client_disconnected(&mut self, now: Timestamp, query: QueryId) {
        self.policy.abandon(query);
        self.queries.abandon(now, query);
        self.completed
            .push(CompletedQueryOrPart { query, part: None });
    }

    /// Reports to the policy the attempts that have ended since the last iteration, including those
    /// that have timed out.
    ///
    /// In each iteration, this must be the first call of the policy that returns decisions. The
    /// policy ends a query at the same time at which the query's attempts time out. If the policy
    /// ran before the time-outs are reported, it would end the query and cancel the attempts. They
    /// would be reported as cancelled instead of timed out, and the policy would not detect that
    /// their servers do not respond.
    pub(super) fn report_ended_attempts(&mut self, now: Timestamp) {
        let mut ended = self.dispatches.take_ended_unsent();
        ended.extend(self.servers.take_ended_attempts(now));
        let reports = ended
            .into_iter()
            .map(|attempt| self.on_attempt_ended(now, attempt))
            .collect();
        let decisions = self.policy.on_attempts_ended(now, reports);
        self.execute(now, decisions);
    }

    /// Records the end of an attempt, moves its value to its query, and returns the report for the
    /// policy.
    fn on_attempt_ended(&mut self, now: Timestamp, mut ended: EndedAttempt) -> AttemptReport {
        self.queries.on_attempt_ended(now, &mut ended);
        if ended.outcome == Outcome::Served {
            self.completed.push(CompletedQueryOrPart {
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

    /// Submits the received queries to the policy, without those that are not admitted.
    pub(super) fn submit_queries(&mut self, now: Timestamp, received: Vec<ReceivedQuery>) {
        let admitted = received
            .into_iter()
            .filter_map(|query| self.queries.admit(now, query))
            .collect();
        let decisions = self.policy.submit(now, admitted);
        self.execute(now, decisions);
    }

    /// Runs the policy if it is due at this time or has events to process, and executes its
    /// decisions.
    pub(super) fn poll_policy(&mut self, now: Timestamp) {
        let decisions = self.policy.poll(now);
        self.execute(now, decisions);
    }

    /// Ends an iteration: withdraws the unsent attempts that are not needed any more, sends the
    /// dispatched attempts, closes expired connections and logs the policy's state if that is due.
    pub(super) fn end_iteration(&mut self, now: Timestamp) {
        self.withdraw_unneeded_attempts(now);
        self.send_dispatches(now);
        self.servers.close_expired_connections(now);
        let server_connections = self.servers.open_connections();
        self.policy_reporter
            .report_if_due(now, &self.policy, server_connections);
    }

    /// Returns the time at which the next iteration must start even if no event occurs, or `None`
    /// if there is no such time.
    pub(super) fn next_deadline(&self, now: Timestamp) -> Option<Timestamp> {
        let has_reports = self.servers.has_ended_attempts() || self.dispatches.has_ended_unsent();
        let deadlines = [
            self.policy.next_deadline(),
            self.servers.next_deadline(),
            has_reports.then_some(now),
        ];
        deadlines.into_iter().flatten().min()
    }

    /// Executes decisions of the policy. Dispatched attempts are queued until the end of the
    /// iteration.
    fn execute(&mut self, now: Timestamp, decisions: Decisions) {
        self.log_undecided_queries(&decisions);
        for attempt in decisions.cancellations {
            self.cancel_attempt(now, attempt);
        }
        for finished in decisions.finished {
            self.finish_query(now, finished);
        }
        self.dispatches.extend(decisions.dispatches);
    }

    /// Logs the numbers of queries that the [`PolicyEngine`] ended itself, without a decision of
    /// the policy that it runs: those that it rejected for lack of capacity, and those that it
    /// failed because the policy had not ended them shortly before their deadline.
    fn log_undecided_queries(&self, decisions: &Decisions) {
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

    /// Cancels an attempt, either in the dispatch queue or in the server pools.
    fn cancel_attempt(&mut self, now: Timestamp, attempt: AttemptId) {
        match self.dispatches.cancel(attempt) {
            Cancellation::EndedUnsent => {}
            Cancellation::NotQueued => self.servers.cancel(now, attempt),
        }
    }

    /// Sends the final response of a query whose outcome the policy has decided.
    fn finish_query(&mut self, now: Timestamp, finished: FinishedQuery) {
        let FinishedQuery { query, outcome } = finished;
        self.completed
            .push(CompletedQueryOrPart { query, part: None });
        self.queries.finish(now, query, |values| match outcome {
            QueryOutcome::Rejected { retry_after } => FinalResponse::Rejected { retry_after },
            QueryOutcome::Failed => FinalResponse::Failed,
            QueryOutcome::Answered { is_complete } => FinalResponse::Answered {
                is_complete,
                values,
            },
        });
    }

    /// Withdraws the unsent attempts of the queries and parts that were completed in this
    /// iteration.
    fn withdraw_unneeded_attempts(&mut self, now: Timestamp) {
        for CompletedQueryOrPart { query, part } in std::mem::take(&mut self.completed) {
            self.servers.cancel_unsent(now, query, part);
        }
    }

    /// Sends the attempts that were dispatched in this iteration.
    fn send_dispatches(&mut self, now: Timestamp) {
        let dispatches = self.dispatches.take_dispatches();
        let attempts = dispatches
            .filter_map(|dispatch| self.prepare_attempt(now, dispatch))
            .collect();
        self.servers.send_attempts(now, attempts);
    }

    /// Prepares a dispatched attempt for sending: adds the data of its query that its frame
    /// contains. If the attempt must not be sent, records that it ended without being sent and
    /// returns `None`.
    fn prepare_attempt(&mut self, now: Timestamp, dispatch: Dispatch) -> Option<OutgoingAttempt> {
        let attempt = dispatch.attempt;
        match self.queries.prepare_attempt(now, dispatch) {
            Ok(outgoing) => return Some(outgoing),
            Err(DispatchError::QueryFinished) => {}
            Err(DispatchError::RepetitionForbidden(_)) => {
                // An earlier attempt under the same key may have executed the part or may still
                // execute it. The part must not be executed again, so the query cannot be served.
                // Nor can the query be rejected, because a rejection tells the client that nothing
                // was executed.
                self.policy.abandon(attempt.query);
                self.queries
                    .finish(now, attempt.query, |_| FinalResponse::Failed);
            }
        }
        self.dispatches.record_ended_unsent(attempt);
        None
    }
}
