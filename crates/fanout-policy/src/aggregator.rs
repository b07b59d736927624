//! The state of one aggregator and the dispatch of its events.
//!
//! What it decides is in [`crate::policy`]; this module only applies and records it.

use crate::api::{
    Action, Class, Endpoint, Event, ListUpdate, Ms, Part, Query, ServingState, Settings,
};
use crate::policy::batch_context::BatchContext;
use crate::policy::batch_timer::{BatchTimer, ControlTimer, Punctuality, QueryLoad};
use crate::policy::endpoint_list_poller::{EndpointListPoller, PollDecision};
use crate::policy::fanout_width::FanoutWidthController;
use crate::policy::retry_budget::RetryBudget;
use crate::policy::tuning::{INITIAL_LATENCY_PER_WORK, INITIAL_PART_COST};
use crate::state::{
    ClassState, Fleet, InFlightQuery, QueryTable, RandomSource, ServerIndex, SlidingWindow,
};
use std::collections::BTreeSet;

/// The policy of one aggregator.
pub struct Aggregator {
    pub(crate) settings: Settings,
    pub(crate) random: RandomSource,
    /// Time of the current batch.
    pub(crate) now: Ms,
    /// Actions of the current batch so far.
    pub(crate) actions: Vec<Action>,
    pub(crate) fleet: Fleet,
    pub(crate) queries: QueryTable,
    /// What is learned about each class.
    pub(crate) classes: Vec<ClassState>,
    /// Median latency per outstanding work over the fleet.
    pub(crate) fleet_latency_per_work: f64,
    /// Controllers of the fan-out width, by class.
    pub(crate) fanout_widths: Vec<FanoutWidthController>,
    pub(crate) retry_budget: RetryBudget,
    /// Queries accepted, by tenant.
    pub(crate) tenant_queries: Vec<SlidingWindow>,
    /// Highest weight per work of any query so far.
    pub(crate) highest_density: f64,
    /// Work served in the current control interval.
    pub(crate) served_work: Ms,
    /// Work served per warm server and millisecond, smoothed.
    pub(crate) served_rate: f64,
    /// Servers whose outstanding work has changed since it was last published.
    pub(crate) unpublished: BTreeSet<ServerIndex>,
    /// Earliest time of the next gossip message.
    pub(crate) next_publish_at: Ms,
    /// When gossip last arrived.
    pub(crate) gossip_received_at: Ms,
    pub(crate) list_poller: EndpointListPoller,
    pub(crate) batch_timer: BatchTimer,
    pub(crate) control_timer: ControlTimer,
}

impl Aggregator {
    /// An aggregator that knows nothing but its settings. The same seed and events lead to
    /// the same actions.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        let part_cost = settings.call_cost.max(1.0) * INITIAL_PART_COST;
        let class = ClassState {
            part_cost,
            second_step_duration: part_cost,
            ..ClassState::default()
        };
        let fanout_width = FanoutWidthController::new(settings.replica_cells.max(1));
        Aggregator {
            random: RandomSource::new(seed),
            now: 0.0,
            actions: Vec::new(),
            fleet: Fleet::default(),
            queries: QueryTable::default(),
            classes: vec![class; settings.classes.len()],
            fleet_latency_per_work: INITIAL_LATENCY_PER_WORK,
            fanout_widths: vec![fanout_width; settings.classes.len()],
            retry_budget: RetryBudget::default(),
            tenant_queries: vec![SlidingWindow::default(); settings.tenants.len()],
            highest_density: 0.0,
            served_work: 0.0,
            served_rate: 0.0,
            unpublished: BTreeSet::new(),
            next_publish_at: 0.0,
            gossip_received_at: f64::NEG_INFINITY,
            list_poller: EndpointListPoller::new(&settings),
            batch_timer: BatchTimer::new(),
            control_timer: ControlTimer::new(),
            settings,
        }
    }

    /// Processes all events of one point in time and returns the actions to carry out, in
    /// order. Attempts are decided after all events, so that parts for one server share
    /// calls.
    pub fn on_batch(&mut self, now: Ms, events: Vec<Event>) -> Vec<Action> {
        self.now = now;
        let batch = BatchContext {
            now,
            settings: &self.settings,
        };
        self.batch_timer.on_batch(&batch);
        for server in self.fleet.servers.iter_mut() {
            server.parts_in_batch = 0;
        }
        for event in events {
            self.handle_event(event);
        }
        if self.list_poller.poll_if_due(now) == PollDecision::Poll {
            self.actions.push(Action::PollEndpointList);
        }
        if self.control_timer.start_interval_if_due(now) {
            self.run_control_loops();
        }
        for id in self.queries.ids() {
            if let Some(mut query) = self.queries.take(&id)
                && !self.advance_query(&id, &mut query)
            {
                self.queries.put_back(id, query);
            }
        }
        self.publish_load();
        let load = if self.queries.is_empty() {
            QueryLoad::Idle
        } else {
            QueryLoad::Busy
        };
        let batch = BatchContext {
            now,
            settings: &self.settings,
        };
        if let Some(after) = self.batch_timer.set_if_unset(&batch, load) {
            self.actions.push(Action::SetTimer { after });
        }
        std::mem::take(&mut self.actions)
    }

    /// Number of servers of which records are held.
    #[must_use]
    pub fn servers_known(&self) -> usize {
        self.fleet.servers.len()
    }

    /// Applies one event.
    fn handle_event(&mut self, event: Event) {
        match event {
            Event::EndpointList { update, endpoints } => self.on_endpoint_list(update, endpoints),
            Event::Query(query) => self.on_query(query),
            Event::Part(part) => self.on_part(part),
            Event::AttemptEnded {
                part,
                attempt,
                outcome,
                elapsed,
                load,
            } => {
                if let Some(attempt) = self.queries.take_attempt(&part, attempt) {
                    self.on_outcome(&attempt, outcome, elapsed);
                    if let Some(load) = load {
                        self.on_load_report(&attempt, load);
                    }
                }
                self.queries.record_outcome(&part, attempt, outcome);
            }
            Event::ClientDisconnected(id) => {
                if let Some(query) = self.queries.take(&id) {
                    self.finish(&query);
                }
            }
            Event::Gossip { from, bytes } => self.on_gossip(from, &bytes),
            Event::TimerFired => self.batch_timer.on_fired(),
        }
    }

    fn on_query(&mut self, query: Query) {
        if self.settings.classes.is_empty() {
            return self.actions.push(Action::Fail { query: query.id });
        }
        self.retry_budget.record_accepted(self.now);
        if let Some(queries) = self.tenant_queries.get_mut(query.tenant.0) {
            queries.record(self.now);
        }
        let class = query.class.0.min(self.settings.classes.len() - 1);
        let in_flight = InFlightQuery {
            class,
            tenant: query.tenant.0,
            group: query.group,
            arrived_at: self.now,
            first_sent_at: self.first_sent_at(class, &query),
            client_deadline: query.client_deadline,
            ..InFlightQuery::default()
        };
        self.queries.add(query.id, in_flight);
    }

    fn on_part(&mut self, part: Part) {
        self.retry_budget.record_accepted(self.now);
        self.queries.add_part(part);
    }

    fn on_endpoint_list(&mut self, update: ListUpdate, endpoints: Vec<Endpoint>) {
        if update == ListUpdate::Failed {
            return self
                .list_poller
                .on_failure(self.now, &self.settings, &mut self.random);
        }
        if update != ListUpdate::Cached {
            self.list_poller.on_success(&self.settings);
        }
        if update != ListUpdate::Delta {
            for server in self.fleet.servers.iter_mut() {
                server.state = ServingState::Removed;
            }
        }
        for endpoint in endpoints {
            self.update_server(endpoint);
        }
        self.fleet
            .rebuild_rows(self.settings.cells, self.settings.replica_cells);
    }

    /// Takes over the entry of a server in an endpoint list.
    fn update_server(&mut self, endpoint: Endpoint) {
        let server = self
            .fleet
            .server_or_new(endpoint.node, self.fleet_latency_per_work);
        server.cell = endpoint.cell;
        server.state = endpoint.state;
        server.zone = endpoint.zone;
        if let Some(started) = endpoint.started
            && started + self.settings.warm_up.duration > self.now
            && server.warming_since.is_none_or(|since| since < started)
        {
            server.warming_since = Some(started);
        }
    }

    /// Time and settings of the current batch.
    pub(crate) fn batch(&self) -> BatchContext<'_> {
        BatchContext {
            now: self.now,
            settings: &self.settings,
        }
    }

    /// Whether this aggregator was paused before the current batch.
    pub(crate) fn was_paused(&self) -> bool {
        self.batch_timer.punctuality() == Punctuality::Paused
    }

    /// Class of a query in flight.
    pub(crate) fn class_of(&self, query: &InFlightQuery) -> &Class {
        self.batch().class_of(query)
    }

    /// Latency objective of the class of a query.
    pub(crate) fn objective(&self, query: &InFlightQuery) -> Ms {
        self.batch().objective(query)
    }

    /// When the latency objective of a query ends.
    pub(crate) fn objective_end(&self, query: &InFlightQuery) -> Ms {
        self.batch().objective_end(query)
    }

    /// Shortest latency objective of all classes; a large finite time if there are none.
    pub(crate) fn shortest_objective(&self) -> Ms {
        self.batch().shortest_objective()
    }
}
