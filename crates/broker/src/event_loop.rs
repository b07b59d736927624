//! The event loop: one thread that drains the event queue, asks the policy for decisions and executes them.
//!
//! An iteration handles all queued events, then reports ended attempts, submits new queries and polls the policy, in
//! this order. The decisions of each of these steps are executed before the next one; only the sending of attempts
//! waits for the end of the iteration, so that attempts to the same server share a call.

mod attempt_reports;
mod decisions;
mod endpoints;
mod policy_state;
mod reload;
mod shutdown;
mod startup;

pub use startup::{ListenAddresses, StartupError, catch_signals, run};

use crate::clock::Clock;
use crate::discovery::DiscoveryWatch;
use crate::event_queue::{Event, EventQueue, ReceivedQuery};
use crate::listeners::ClientListeners;
use crate::operator::OperatorConfig;
use crate::queries::QueryTable;
use crate::upstream::{EndedAttempt, ServerPools};
use admission::resource_limits::ClientResources;
use async_io::Timer;
use batch_window::BatchWindow;
use broker_types::query::{AttemptId, PartIndex, QueryId};
use broker_types::time::Timestamp;
use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use policy_engine::{Dispatch, PolicyEngine};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

/// Longest time between two iterations.
const MAX_WAIT: Duration = Duration::from_secs(1000);

/// State of the broker.
struct EventLoop {
    clock: Clock,
    /// Names of the zones, in the order by which the policy numbers them.
    zones: Vec<String>,
    /// Least time from an iteration to the next one that only a deadline causes.
    tick: Duration,
    /// Time for which events are gathered before an iteration.
    batch_window: BatchWindow,
    operator: OperatorConfig,
    /// Resources that the platform grants to client connections.
    client_resources: ClientResources,
    policy: PolicyEngine,
    servers: ServerPools,
    discovery: DiscoveryWatch,
    event_queue: Rc<EventQueue>,
    listeners: ClientListeners,
    queries: QueryTable,
    /// Attempts to be sent at the end of the iteration, unless they are cancelled before.
    dispatches: BTreeMap<AttemptId, Dispatch>,
    /// Attempts that ended before they were handed to the server pools. They are reported in the next iteration.
    unsent_attempts: Vec<EndedAttempt>,
    /// Queries and parts completed in this iteration, of which no unsent attempt is needed any more.
    completed: Vec<Completed>,
    shutdown_started_at: Option<Timestamp>,
    /// Time of the next attempt to reload the configuration.
    reload_at: Option<Timestamp>,
    /// Time of the next report on the policy's state.
    next_policy_report: Timestamp,
}

/// A query or one of its parts that is complete.
struct Completed {
    query: QueryId,
    /// The part; `None` for the whole query.
    part: Option<PartIndex>,
}

impl EventLoop {
    /// Runs iterations until the graceful shutdown is complete.
    async fn run(&mut self) {
        loop {
            let now = self.clock.now();
            self.iterate(now);
            if self.continue_shutdown(now).await {
                return;
            }
            self.wait(now, self.next_deadline(now)).await;
        }
    }

    /// Runs one iteration.
    fn iterate(&mut self, now: Timestamp) {
        let received = self.handle_events(now);
        self.reload_if_due(now);
        self.report_ended_attempts(now);
        self.submit_queries(now, received);
        self.poll_policy(now);
        self.cancel_completed(now);
        self.send_dispatches(now);
        self.servers.close_expired_connections(now);
        self.log_policy_state(now);
    }

    /// Handles all queued events, and returns the queries that were received and whose clients are still connected.
    fn handle_events(&mut self, now: Timestamp) -> Vec<ReceivedQuery> {
        let mut received = Vec::new();
        for event in self.event_queue.drain() {
            match event {
                Event::QueryReceived(query) => received.push(query),
                Event::ClientDisconnected { query } => {
                    received.retain(|other| other.id != query);
                    self.on_client_disconnected(now, query);
                }
                Event::ServerConnection { connection, event } => {
                    self.servers.on_connection_event(now, connection, event);
                }
                Event::EndpointsUpdated(list) => self.update_endpoints(now, list.scope(), &list),
                Event::ReloadRequested => self.reload_at = Some(now),
                Event::ShutdownRequested => self.start_shutdown(now),
            }
        }
        received
    }

    fn on_client_disconnected(&mut self, now: Timestamp, query: QueryId) {
        self.policy.abandon(query);
        self.queries.abandon(now, query);
        self.completed.push(Completed { query, part: None });
    }

    /// Returns when the next iteration is due even if no event occurs.
    fn next_deadline(&self, now: Timestamp) -> Timestamp {
        let has_reports = self.servers.has_ended_attempts() || !self.unsent_attempts.is_empty();
        let deadlines = [
            self.policy.next_deadline(),
            self.servers.next_deadline(),
            self.shutdown_deadline(now),
            self.reload_at,
            has_reports.then_some(now),
        ];
        let earliest = deadlines.into_iter().flatten().min();
        earliest.unwrap_or(Timestamp::MAX)
    }

    /// Waits until an event has occurred or the deadline has passed, and then until the batch window has ended.
    async fn wait(&self, now: Timestamp, deadline: Timestamp) {
        let deadline = deadline.clamp(now + self.tick, now + MAX_WAIT);
        let timer = async {
            Timer::at(self.clock.instant(deadline)).await;
        };
        self.event_queue.wait().or(timer).await;
        let queries = self.queries.len() + self.event_queue.pending_queries();
        let next_start = self.batch_window.next_start(now, queries);
        if self.clock.now() < next_start {
            Timer::at(self.clock.instant(next_start)).await;
        } else {
            // Lets the other tasks queue what their sockets have received by now.
            yield_now().await;
        }
    }
}
