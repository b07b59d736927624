//! The aggregator: composes the components of the policy and processes batches of events.
//!
//! [`Aggregator`] owns the settings, the queries in flight and the timers. [`PolicyState`] owns the
//! state that the decisions depend on. [`query_driver`] advances queries, [`attempt_outcomes`]
//! updates the statistics after each attempt, and [`views`] gives read access to the statistics.

mod attempt_outcomes;
mod query_driver;
mod views;

use crate::api::{
    Action, Endpoint, Event, ListUpdate, Ms, Outcome, PartId, Query, QueryId, Settings,
};
use crate::fleet::{Fleet, ServerIndex};
use crate::policy::admission::AdmissionController;
use crate::policy::batch_context::BatchContext;
use crate::policy::batch_timer::{BatchTimer, ControlTimer, IntervalStart, QueryLoad};
use crate::policy::class_estimates::ClassEstimates;
use crate::policy::ended_attempt::AttemptEnd;
use crate::policy::endpoint_list_poller::{EndpointListPoller, PollDecision};
use crate::policy::fanout_width::FanoutWidthController;
use crate::policy::load_gossip::{GossipMessage, LoadGossip};
use crate::policy::retry_budget::RetryBudget;
use crate::queries::{Arrival, AttemptTable, InFlightQuery, QueryTable};
use crate::random::RandomSource;
use query_driver::QueryDriver;
use std::collections::BTreeSet;

/// The policy of one aggregator.
pub struct Aggregator {
    settings: Settings,
    queries: QueryTable,
    state: PolicyState,
    list_poller: EndpointListPoller,
    batch_timer: BatchTimer,
    control_timer: ControlTimer,
}

/// State that the decisions on queries depend on.
struct PolicyState {
    random: RandomSource,
    fleet: Fleet,
    attempts: AttemptTable,
    /// Estimates of each class, by class index.
    classes: Vec<ClassEstimates>,
    /// Controllers of the fan-out width, by class index.
    fanout_widths: Vec<FanoutWidthController>,
    admission: AdmissionController,
    retry_budget: RetryBudget,
    gossip: LoadGossip,
}

/// The end of an attempt, as the caller reports it in [`Event::AttemptEnded`].
struct AttemptReport {
    part: PartId,
    /// Index of the attempt among those of its part.
    number: u32,
    outcome: Outcome,
    elapsed: Ms,
    load: Option<f64>,
}

impl Aggregator {
    /// Creates an aggregator without servers, queries or statistics. Two aggregators with the same
    /// settings, seed and events return the same actions.
    #[must_use]
    pub fn new(settings: Settings, seed: u64) -> Self {
        Aggregator {
            queries: QueryTable::default(),
            state: PolicyState::new(&settings, seed),
            list_poller: EndpointListPoller::new(&settings),
            batch_timer: BatchTimer::new(),
            control_timer: ControlTimer::new(),
            settings,
        }
    }

    /// Processes the events of the batch at time `now` and returns the actions to carry out, in
    /// order. Attempts are chosen only after all events of the batch have been applied, so that
    /// parts for the same server share calls.
    pub fn on_batch(&mut self, now: Ms, events: Vec<Event>) -> Vec<Action> {
        let mut actions = Vec::new();
        self.batch_timer
            .on_batch(&BatchContext::new(now, &self.settings));
        self.state.fleet.on_batch();
        for event in events {
            self.handle_event(now, event, &mut actions);
        }
        if self.list_poller.poll_if_due(now) == PollDecision::Poll {
            actions.push(Action::PollEndpointList);
        }
        if self.control_timer.start_interval_if_due(now) == IntervalStart::Started {
            self.run_control_loops(now);
        }
        self.advance_queries(now, &mut actions);
        self.publish_load(now, &mut actions);
        self.set_timer(now, &mut actions);
        actions
    }

    /// Returns the number of server records in memory, including those of forgotten servers that
    /// are kept for reuse.
    #[must_use]
    pub fn server_record_count(&self) -> usize {
        self.state.fleet.record_count()
    }

    /// Applies one event to the state.
    fn handle_event(&mut self, now: Ms, event: Event, actions: &mut Vec<Action>) {
        match event {
            Event::EndpointList { update, endpoints } => {
                self.on_endpoint_list(now, update, endpoints);
            }
            Event::Query(query) => self.on_query(now, query, actions),
            Event::Part(part) => {
                self.state.retry_budget.record_accepted(now);
                self.queries.add_part(part);
            }
            Event::AttemptEnded {
                part,
                attempt: number,
                outcome,
                elapsed,
                load,
            } => self.on_attempt_ended(
                now,
                &AttemptReport {
                    part,
                    number,
                    outcome,
                    elapsed,
                    load,
                },
            ),
            Event::ClientDisconnected(id) => self.on_client_disconnected(now, &id, actions),
            Event::Gossip { from, bytes } => self.on_gossip(now, GossipMessage::new(from, &bytes)),
            Event::TimerFired => self.batch_timer.on_fired(),
        }
    }

    fn on_endpoint_list(&mut self, now: Ms, update: ListUpdate, endpoints: Vec<Endpoint>) {
        let batch = BatchContext::new(now, &self.settings);
        match update {
            ListUpdate::Failed => {
                let random = &mut self.state.random;
                return self.list_poller.on_failure(now, &self.settings, random);
            }
            ListUpdate::Delta | ListUpdate::Snapshot => self.list_poller.on_success(&self.settings),
            ListUpdate::Cached => {}
        }
        self.state.fleet.apply_list(&batch, update, endpoints);
    }

    /// Adds a query to those in flight. A class index beyond the last class counts as the last
    /// class. If the settings have no classes, the query fails. For the retry budget, the query and
    /// each of its parts count as accepted on arrival, before admission control decides. The
    /// admission controller counts the arrival against the tenant's quota, and returns when the
    /// client first sent the query.
    fn on_query(&mut self, now: Ms, query: Query, actions: &mut Vec<Action>) {
        if self.settings.classes.is_empty() {
            return actions.push(Action::Fail { query: query.id });
        }
        let batch = BatchContext::new(now, &self.settings);
        self.state.retry_budget.record_accepted(now);
        let class = query.class.0.min(self.settings.classes.len() - 1);
        let arrival = Arrival {
            class,
            arrived_at: now,
            first_sent_at: self.state.admission.on_arrival(&batch, class, &query),
        };
        let in_flight = InFlightQuery::new(&query, arrival);
        self.queries.add(query.id, in_flight);
    }

    fn on_attempt_ended(&mut self, now: Ms, report: &AttemptReport) {
        let batch = BatchContext::new(now, &self.settings);
        if let Some(attempt) = self.state.attempts.remove(&report.part, report.number) {
            let timing = self.batch_timer.timing();
            let end = AttemptEnd::new(report.outcome, report.elapsed, timing);
            self.state.record_attempt_end(&batch, &attempt, end);
            if let Some(load) = report.load {
                self.state.record_load_report(&batch, &attempt, load);
            }
        }
        self.queries
            .record_outcome(&report.part, report.number, report.outcome);
    }

    /// Ends a query whose client has disconnected: cancels its attempts in flight, if the settings
    /// allow cancellation, and updates the estimates of its class. Does nothing if the query is not
    /// in flight.
    fn on_client_disconnected(&mut self, now: Ms, id: &QueryId, actions: &mut Vec<Action>) {
        if let Some(query) = self.queries.remove(id) {
            let batch = BatchContext::new(now, &self.settings);
            QueryDriver::new(batch, &mut self.state, actions).finish(&query);
        }
    }

    fn on_gossip(&mut self, now: Ms, message: GossipMessage) {
        let batch = BatchContext::new(now, &self.settings);
        let PolicyState {
            gossip,
            fleet,
            random,
            ..
        } = &mut self.state;
        gossip.on_message(&batch, message, fleet, random);
    }

    /// Starts a control interval: adjusts the fan-out width of each class, updates the averages of
    /// the servers, and discards expired state.
    fn run_control_loops(&mut self, now: Ms) {
        let batch = BatchContext::new(now, &self.settings);
        let in_use = self.servers_in_use();
        let PolicyState {
            random,
            fleet,
            fanout_widths,
            retry_budget,
            gossip,
            ..
        } = &mut self.state;
        let max_rows = fleet.rows().max_holders();
        for width in fanout_widths {
            width.adjust(max_rows);
        }
        fleet.start_interval(&batch, random);
        // The other aggregators discard a report that is not repeated in time. A server with work
        // of this aggregator is therefore published in each control interval, even if that work has
        // not changed.
        for server in fleet.with_own_work() {
            gossip.mark_changed(server);
        }
        fleet.forget_removed(&batch, &in_use);
        gossip.discard_unknown(fleet);
        retry_budget.discard_expired(&batch);
    }

    /// Returns the servers that a query in flight or an attempt in flight refers to. Their records
    /// must not be reused yet.
    fn servers_in_use(&self) -> BTreeSet<ServerIndex> {
        let attempts = self.state.attempts.servers();
        self.queries.servers().chain(attempts).collect()
    }

    /// Advances all queries in flight and removes those that end.
    fn advance_queries(&mut self, now: Ms, actions: &mut Vec<Action>) {
        let batch = BatchContext::new(now, &self.settings);
        let mut driver = QueryDriver::new(batch, &mut self.state, actions);
        self.queries
            .advance_each(|id, query| driver.advance(id, query));
    }

    fn publish_load(&mut self, now: Ms, actions: &mut Vec<Action>) {
        let batch = BatchContext::new(now, &self.settings);
        let PolicyState { gossip, fleet, .. } = &mut self.state;
        let messages = gossip.publish_if_due(&batch, fleet).into_iter();
        actions.extend(messages.map(|bytes| Action::PublishLoad { bytes }));
    }

    fn set_timer(&mut self, now: Ms, actions: &mut Vec<Action>) {
        let batch = BatchContext::new(now, &self.settings);
        let load = if self.queries.is_empty() {
            QueryLoad::Idle
        } else {
            QueryLoad::Busy
        };
        if let Some(after) = self.batch_timer.set_if_unset(&batch, load) {
            actions.push(Action::SetTimer { after });
        }
    }
}

impl PolicyState {
    fn new(settings: &Settings, seed: u64) -> Self {
        let classes = settings.classes.len();
        let fanout_width = FanoutWidthController::new(settings.replica_cells.max(1));
        PolicyState {
            random: RandomSource::new(seed),
            fleet: Fleet::new(),
            attempts: AttemptTable::default(),
            classes: vec![ClassEstimates::new(settings); classes],
            fanout_widths: vec![fanout_width; classes],
            admission: AdmissionController::new(settings),
            retry_budget: RetryBudget::default(),
            gossip: LoadGossip::new(),
        }
    }
}
