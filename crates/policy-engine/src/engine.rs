//! The engine: passes events to the policy and translates the policy's actions into decisions.

use crate::admitted::{AdmittedQueries, OverCapacity};
use crate::commands::{AttemptReport, Decisions, Dispatch, FinishedQuery, QueryOutcome, QuerySpec};
use crate::events::{attempt_ended_event, endpoints_event, query_events, to_policy_time};
use crate::names::{parse_part_id, parse_query_id, policy_query_id};
use crate::summary::PolicySummary;
use broker_types::query::{AttemptId, QueryId};
use broker_types::server::{ListScope, NodeId, ServerInfo};
use broker_types::time::{Timestamp, millis};
use fanout_policy::Aggregator;
use fanout_policy::api::{Action, Event, Ms, PartId, QueryId as PolicyQueryId, Settings};
use fanout_policy::over_capacity_retry_after;
use std::time::Duration;

/// The fan-out policy together with the queries in flight.
pub struct PolicyEngine {
    policy: Aggregator,
    settings: Settings,
    admitted: AdmittedQueries,
    /// Events that have not been passed to the policy yet; its next run takes all of them.
    staged: Vec<Event>,
    /// Time of the next timer event; `None` if no timer is set.
    timer_at: Option<Timestamp>,
}

impl PolicyEngine {
    /// Creates an engine without servers or queries. `max_in_flight` is the maximum number of
    /// queries and parts in flight together. `seed` initializes the policy's random number
    /// generator.
    #[must_use]
    pub fn new(settings: Settings, max_in_flight: usize, seed: u64) -> Self {
        PolicyEngine {
            policy: Aggregator::new(settings.clone(), seed),
            settings,
            admitted: AdmittedQueries::new(max_in_flight),
            staged: Vec::new(),
            // The first timer event is due at the first call of `poll`.
            timer_at: Some(Timestamp::ORIGIN),
        }
    }

    /// Updates the list of servers. The policy applies the update in its next run.
    pub fn update_endpoints(&mut self, scope: ListScope, servers: Vec<ServerInfo>) {
        self.staged.push(endpoints_event(scope, servers));
    }

    /// Ends a query whose client has disconnected. No [`FinishedQuery`] is returned for it. Does
    /// nothing if the query is not in flight.
    pub fn abandon(&mut self, query: QueryId) {
        if self.admitted.remove(query) {
            self.staged
                .push(Event::ClientDisconnected(policy_query_id(query)));
        }
    }

    /// Reports to the policy which attempts have ended, and runs it. Does nothing without reports.
    pub fn on_attempts_ended(&mut self, now: Timestamp, reports: Vec<AttemptReport>) -> Decisions {
        if reports.is_empty() {
            return Decisions::default();
        }
        let events = reports.into_iter().map(attempt_ended_event);
        self.staged.extend(events);
        self.run_policy(now)
    }

    /// Submits new queries to the policy, and runs it. A query that exceeds the capacity is
    /// rejected and is not passed to the policy. Does nothing without queries.
    pub fn submit(&mut self, now: Timestamp, queries: Vec<QuerySpec>) -> Decisions {
        if queries.is_empty() {
            return Decisions::default();
        }
        let mut rejected = Vec::new();
        for query in queries {
            match self.admitted.admit(&query) {
                Ok(()) => self.staged.extend(query_events(now, &query)),
                Err(OverCapacity) => rejected.push(self.reject_over_capacity(&query)),
            }
        }
        let mut decisions = self.run_policy(now);
        decisions.over_capacity = rejected.len();
        decisions.finished.extend(rejected);
        decisions
    }

    /// Runs the policy if its timer is due or if events are staged, and fails the queries whose
    /// deadline is at most one tick (`Settings::tick`) away.
    pub fn poll(&mut self, now: Timestamp) -> Decisions {
        let is_timer_due = self.timer_at.take_if(|at| now >= *at).is_some();
        if is_timer_due {
            self.staged.push(Event::TimerFired);
        }
        let mut decisions = if self.staged.is_empty() {
            Decisions::default()
        } else {
            self.run_policy(now)
        };
        self.fail_expiring_queries(now, &mut decisions);
        decisions
    }

    /// Returns the time by which [`PolicyEngine::poll`] has to be called next; `None` if there is
    /// nothing to do before another input arrives. If the time has passed, the call is due
    /// immediately.
    #[must_use]
    pub fn next_deadline(&self) -> Option<Timestamp> {
        let earliest_deadline = self.admitted.earliest_deadline();
        let fail_at = earliest_deadline.map(|deadline| deadline - self.expiry_margin());
        let run_at = if self.staged.is_empty() {
            self.timer_at
        } else {
            // A time that has passed: the staged events are due immediately.
            Some(Timestamp::ORIGIN)
        };
        [fail_at, run_at].into_iter().flatten().min()
    }

    /// Returns a summary of the policy's state for the log.
    #[must_use]
    pub fn summary(&self, now: Timestamp) -> PolicySummary {
        PolicySummary::of(&self.policy, to_policy_time(now))
    }

    /// Returns the number of queries and parts in flight together.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.admitted.in_use()
    }

    /// Returns how long before its deadline a query fails if the policy has not ended it by then:
    /// one tick (`Settings::tick`).
    fn expiry_margin(&self) -> Duration {
        millis(self.settings.tick)
    }

    fn reject_over_capacity(&self, query: &QuerySpec) -> FinishedQuery {
        let retry_after = over_capacity_retry_after(&self.settings, query.class.0).map(millis);
        FinishedQuery {
            query: query.id,
            outcome: QueryOutcome::Rejected { retry_after },
        }
    }

    /// Fails the queries that are about to expire. This guarantees that each client receives a
    /// response before its deadline, even if the policy never ends its query.
    fn fail_expiring_queries(&mut self, now: Timestamp, decisions: &mut Decisions) {
        let latest = now + self.expiry_margin();
        while let Some(query) = self.admitted.first_due_by(latest) {
            // The policy has no event for a query that the engine fails. The event of a
            // disconnected client is used instead: on it, the policy ends the query and cancels its
            // attempts.
            self.abandon(query);
            decisions.finished.push(FinishedQuery {
                query,
                outcome: QueryOutcome::Failed,
            });
            decisions.expired += 1;
        }
    }

    /// Passes the staged events to the policy, and translates the actions that it returns.
    fn run_policy(&mut self, now: Timestamp) -> Decisions {
        let events = std::mem::take(&mut self.staged);
        let actions = self.policy.on_batch(to_policy_time(now), events);
        let mut decisions = Decisions::default();
        for action in actions {
            self.apply(now, action, &mut decisions);
        }
        decisions
    }

    fn apply(&mut self, now: Timestamp, action: Action, decisions: &mut Decisions) {
        match action {
            Action::SendAttempt {
                part,
                node,
                timeout,
            } => {
                decisions
                    .dispatches
                    .extend(self.dispatch(now, &part, node, timeout));
            }
            Action::CancelAttempt { part, attempt } => {
                decisions
                    .cancellations
                    .extend(cancelled_attempt(&part, attempt));
            }
            Action::Answer { query, complete } => {
                let outcome = QueryOutcome::Answered {
                    is_complete: complete,
                };
                decisions.finished.extend(self.finish(&query, outcome));
            }
            Action::Reject { query, retry_after } => {
                let retry_after = retry_after.map(millis);
                let outcome = QueryOutcome::Rejected { retry_after };
                decisions.finished.extend(self.finish(&query, outcome));
            }
            Action::Fail { query } => {
                let outcome = QueryOutcome::Failed;
                decisions.finished.extend(self.finish(&query, outcome));
            }
            Action::SetTimer { after } => self.timer_at = Some(now + millis(after)),
            // The broker does not exchange gossip with other brokers, and it always watches the
            // endpoint list, so that it never has to start polling.
            Action::PublishLoad { .. } | Action::PollEndpointList => {}
        }
    }

    /// Starts an attempt that the policy requests. It times out after `timeout`, but no later than
    /// at the deadline of its query. Returns `None` if the query is no longer in flight.
    fn dispatch(
        &mut self,
        now: Timestamp,
        part: &PartId,
        server: NodeId,
        timeout: Option<Ms>,
    ) -> Option<Dispatch> {
        let part = parse_part_id(part)?;
        let attempt = self.admitted.start_attempt(part.query, part.part)?;
        let query_deadline = attempt.query_deadline;
        let deadline = timeout.map_or(query_deadline, |timeout| {
            query_deadline.min(now + millis(timeout))
        });
        Some(Dispatch {
            attempt: attempt.id,
            server,
            deadline,
        })
    }

    /// Ends a query with this outcome. Returns `None` if the query is no longer in flight.
    fn finish(&mut self, query: &PolicyQueryId, outcome: QueryOutcome) -> Option<FinishedQuery> {
        let query = parse_query_id(query)?;
        self.admitted
            .remove(query)
            .then_some(FinishedQuery { query, outcome })
    }
}

fn cancelled_attempt(part: &PartId, attempt: u32) -> Option<AttemptId> {
    let part = parse_part_id(part)?;
    Some(AttemptId {
        query: part.query,
        part: part.part,
        attempt,
    })
}

#[cfg(test)]
mod tests;
