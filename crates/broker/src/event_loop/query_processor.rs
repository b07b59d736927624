//! Takes queries from their admission to their one final response: submits them to the policy,
//! executes its decisions and reports the ends of attempts to it.
//!
//! [`QueryProcessor`] owns the policy, the table of clients' queries and the server pools. A query
//! is freed by the table, an attempt by the pools or, before it is sent, by the dispatch queue.

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

/// The policy with what its decisions are executed on.
pub(super) struct QueryProcessor {
    policy: PolicyEngine,
    policy_reporter: PolicyReporter,
    queries: ClientQueries,
    servers: ServerPools,
    dispatches: DispatchQueue,
    /// Queries and parts completed in this iteration, of which no unsent attempt is needed any
    /// more.
    completed: Vec<Completed>,
}

/// A query or one of its parts that is complete.
struct Completed {
    query: QueryId,
    /// The part; `None` for the whole query.
    part: Option<PartIndex>,
}

impl QueryProcessor {
    /// Returns a processor without queries.
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

    /// Passes a list of endpoints to the policy and the server pools, so that both act on it in the
    /// same iteration. `servers` are its entries as the policy takes them.
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

    /// Stops sending to the servers that a full list no longer holds.
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
    }

    /// Ends a query whose client has disconnected.
    pub(super) fn on_client_disconnected(&mut self, now: Timestamp, query: QueryId) {
        self.policy.abandon(query);
        self.queries.abandon(now, query);
        self.completed.push(Completed { query, part: None });
    }

    /// Reports the attempts that ended since the last iteration.
    ///
    /// An iteration begins with these, time-outs included. The policy ends a query at the moment at
    /// which its attempts time out. If it did so first, it would cancel them and never learn that
    /// their servers are silent.
    pub(super) fn report_ended_attempts(&mut self, now: Timestamp) {
        let mut ended = self.dispatches.take_unsent();
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

    /// Ends an iteration: cancels what is not needed any more, sends what was dispatched and closes
    /// connections that have expired.
    pub(super) fn end_iteration(&mut self, now: Timestamp) {
        self.cancel_completed(now);
        self.send_dispatches(now);
        self.servers.close_expired_connections(now);
        let server_connections = self.servers.open_connections();
        self.policy_reporter
            .report_if_due(now, &self.policy, server_connections);
    }

    /// Returns when the next iteration is due even if no event occurs.
    pub(super) fn next_deadline(&self, now: Timestamp) -> Option<Timestamp> {
        let has_reports = self.servers.has_ended_attempts() || self.dispatches.has_unsent();
        let deadlines = [
            self.policy.next_deadline(),
            self.servers.next_deadline(),
            has_reports.then_some(now),
        ];
        deadlines.into_iter().flatten().min()
    }

    /// Executes decisions. Attempts to be sent are collected until the end of the iteration.
    fn execute(&mut self, now: Timestamp, decisions: Decisions) {
        self.log_capacity(&decisions);
        for attempt in decisions.cancellations {
            self.cancel_attempt(now, attempt);
        }
        for finished in decisions.finished {
            self.finish_query(now, finished);
        }
        self.dispatches.extend(decisions.dispatches);
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
        match self.dispatches.cancel(attempt) {
            Cancellation::Unsent => {}
            Cancellation::NotWaiting => self.servers.cancel(now, attempt),
        }
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
    fn cancel_completed(&mut self, now: Timestamp) {
        for Completed { query, part } in std::mem::take(&mut self.completed) {
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

    /// Completes a dispatch with what its frame needs. Returns `None` if it must not be sent.
    fn prepare_attempt(&mut self, now: Timestamp, dispatch: Dispatch) -> Option<OutgoingAttempt> {
        let attempt = dispatch.attempt;
        match self.queries.prepare_attempt(now, dispatch) {
            Ok(outgoing) => return Some(outgoing),
            Err(DispatchError::QueryFinished) => {}
            Err(DispatchError::IdempotencyWindowClosed(_)) => {
                // An earlier query with the same key may have executed this part. The query can
                // neither be served nor be rejected as if nothing had been executed.
                self.policy.abandon(attempt.query);
                self.queries
                    .finish(now, attempt.query, |_| FinalResponse::Failed);
            }
        }
        self.dispatches.end_unsent(attempt);
        None
    }
}
