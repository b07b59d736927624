//! The iterations of the event loop: the order of their steps, and the time at which the next one
//! starts.
//!
//! [`EventLoop`] holds the components of the broker and passes events between them. Each component
//! owns its state.

use super::configuration::Configuration;
use super::query_processor::QueryProcessor;
use super::runtime::Runtime;
use super::shutdown::{GracefulShutdown, ShutdownProgress};
use crate::clock::Clock;
use crate::discovery::DiscoveryWatch;
use crate::event_queue::{Event, EventQueue, ReceivedQuery};
use crate::listeners::{ClientListeners, ListenerConfig, ListenerContext};
use crate::operator::OperatorConfig;
use crate::queries::ClientQueries;
use crate::upstream::ServerPools;
use async_io::Timer;
use broker_types::server::{EndpointList, ListScope};
use broker_types::time::{Timestamp, millis};
use futures_lite::FutureExt;
use futures_lite::future::yield_now;
use platform_config::Config;
use policy_engine::PolicyEngine;
use std::rc::Rc;
use std::time::Duration;

/// Maximum time from the start of an iteration until the event loop stops waiting for an event and
/// starts the next iteration without one.
const MAX_WAIT: Duration = Duration::from_secs(1000);

/// The components of the broker, which all run on one thread.
pub(super) struct EventLoop {
    clock: Clock,
    event_queue: Rc<EventQueue>,
    /// Names of the zones. The index of a name is the number by which the policy identifies the
    /// zone.
    zones: Vec<String>,
    configuration: Configuration,
    processor: QueryProcessor,
    discovery: DiscoveryWatch,
    listeners: ClientListeners,
    shutdown: GracefulShutdown,
}

impl EventLoop {
    /// Creates the components of the broker and starts the listeners and the watch of the endpoint
    /// list. Until discovery sends an update, the endpoint list is the cached one of `config`.
    pub(super) fn new(
        config: Config,
        operator: OperatorConfig,
        listeners: ListenerConfig,
        runtime: &Runtime,
    ) -> Self {
        let context = ListenerContext::new(
            runtime.event_queue(),
            config.settings.clone(),
            config.names.clone(),
            runtime.clock(),
            runtime.executor().current_slice(),
        );
        let tick = millis(config.settings.tick);
        let queries = ClientQueries::new(&config.settings, config.max_in_flight);
        let policy = PolicyEngine::new(config.settings, config.max_in_flight, config.seed);
        let servers = ServerPools::new(
            runtime.executor(),
            runtime.event_queue(),
            runtime.clock(),
            config.pool,
        );
        let mut discovery =
            DiscoveryWatch::new(runtime.executor(), runtime.event_queue(), config.seed);
        discovery.continue_from(config.discovery, config.cached_endpoints.revision);
        let mut event_loop = EventLoop {
            clock: runtime.clock(),
            event_queue: runtime.event_queue(),
            zones: config.names.zones,
            configuration: Configuration::new(operator, config.clients, tick),
            processor: QueryProcessor::new(policy, queries, servers),
            discovery,
            listeners: ClientListeners::start(context, listeners, runtime.executor()),
            shutdown: GracefulShutdown::default(),
        };
        let now = runtime.clock().now();
        event_loop.update_endpoints(now, ListScope::Cached, &config.cached_endpoints);
        event_loop
    }

    /// Runs iterations until the graceful shutdown is complete.
    pub(super) async fn run(&mut self) {
        loop {
            let now = self.clock.now();
            self.iterate(now);
            let queries_in_flight = self.processor.queries_in_flight();
            let progress = self
                .shutdown
                .advance(now, &mut self.listeners, queries_in_flight)
                .await;
            if progress == ShutdownProgress::Complete {
                return;
            }
            self.wait(now, self.next_deadline(now)).await;
        }
    }

    /// Runs the steps of one iteration, all of them with `now` as the current time.
    fn iterate(&mut self, now: Timestamp) {
        let received = self.handle_events(now);
        self.configuration
            .reload_if_due(now, &self.listeners, &mut self.discovery);
        self.processor.report_ended_attempts(now);
        self.processor.submit_queries(now, received);
        self.processor.poll_policy(now);
        self.processor.end_iteration(now);
        self.listeners.report_request_times_if_due(now);
    }

    /// Handles all queued events. Returns the received queries.
    fn handle_events(&mut self, now: Timestamp) -> Vec<ReceivedQuery> {
        let mut received = Vec::new();
        for event in self.event_queue.drain() {
            match event {
                Event::QueryReceived(query) => {
                    let waited = now.saturating_since(query.queued_at);
                    self.listeners.on_query_dequeued(waited);
                    received.push(query);
                }
                Event::ClientDisconnected { query } => {
                    self.processor.on_client_disconnected(now, query);
                }
                Event::ServerConnection { connection, event } => {
                    self.processor.on_server_event(now, connection, event);
                }
                Event::EndpointsUpdated(list) => self.update_endpoints(now, list.scope(), &list),
                Event::ReloadRequested => self.configuration.request_reload(now),
                Event::ShutdownRequested => {
                    let queries_in_flight = self.processor.queries_in_flight();
                    self.shutdown.start(now, &self.listeners, queries_in_flight);
                }
            }
        }
        received
    }

    /// Passes an endpoint list, or the changes to it, to the query processor.
    fn update_endpoints(&mut self, now: Timestamp, scope: ListScope, list: &EndpointList) {
        let servers = list.servers(&self.zones, |unix_ms| self.clock.at_unix_ms(unix_ms));
        self.processor.update_endpoints(now, scope, list, servers);
    }

    /// Returns the time at which the next iteration must start even if no event occurs.
    fn next_deadline(&self, now: Timestamp) -> Timestamp {
        let tick = self.configuration.tick();
        let deadlines = [
            self.processor.next_deadline(now),
            self.shutdown.next_deadline(now, &self.listeners, tick),
            self.configuration.next_reload(),
        ];
        let deadline = deadlines.into_iter().flatten().min();
        deadline.unwrap_or(Timestamp::MAX)
    }

    /// Waits until an event has occurred or `deadline` has passed, and then until the batch window
    /// has ended. `last_start` is the start of the last iteration. Whatever the deadline is, the
    /// wait for an event ends no later than [`MAX_WAIT`] after `last_start`. If no event occurs, it
    /// ends no earlier than one tick after `last_start`.
    async fn wait(&self, last_start: Timestamp, deadline: Timestamp) {
        let earliest = last_start + self.configuration.tick();
        let deadline = deadline.min(last_start + MAX_WAIT).max(earliest);
        let timer = async {
            Timer::at(self.clock.instant(deadline)).await;
        };
        self.event_queue.wait().or(timer).await;
        let queries = self.processor.queries_in_flight() + self.event_queue.pending_queries();
        let next_start = self
            .configuration
            .batch_window()
            .next_start(last_start, queries);
        if self.clock.now() < next_start {
            Timer::at(self.clock.instant(next_start)).await;
        } else {
            // The batch window has ended already. Other tasks run once before the next iteration,
            // so that they can queue events for the data that their sockets have received.
            yield_now().await;
        }
    }
}
