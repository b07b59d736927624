//! Settings, endpoints, events and a harness for an aggregator, shared by the tests.

use fanout_policy::Aggregator;
use fanout_policy::api::{
    Action, Class, ClassIndex, Endpoint, EndpointListSource, Event, ListUpdate, Ms, NodeId,
    Outcome, Part, PartId, Query, QueryId, RetrySafety, ServingState, Settings, TenantIndex,
    WarmUp,
};
use std::collections::{BTreeMap, BTreeSet};

/// Retry-after value of the settings, in milliseconds.
const MAX_RETRY_AFTER: Ms = 50.0;
/// Time between two batches, in milliseconds.
const TICK: Ms = 5.0;
/// Time after which a client of [`Harness::submit`] gives up, in milliseconds.
const CLIENT_TIMEOUT: Ms = 4000.0;
/// Seed of the harness's aggregator.
const SEED: u64 = 11;

/// A class of idempotent queries that need all their parts.
pub fn class() -> Class {
    Class {
        latency_objective: 1000.0,
        client_timeout: 4000.0,
        priority_weight: 1.0,
        late_weight: 0.3,
        retry_safety: RetrySafety::Idempotent,
        required_share: 1.0,
        minimum_share: 1.0,
        partial_weight: 0.9,
        has_second_step: false,
    }
}

/// The same class where an answer after the latency objective earns nothing.
pub fn class_without_late_weight() -> Class {
    Class {
        late_weight: 0.0,
        ..class()
    }
}

/// A ring of six cells, three of which hold a shard.
pub fn ring() -> Settings {
    Settings {
        classes: vec![class()],
        tenants: vec![],
        aggregators: 2,
        zone: None,
        over_quota_weight: 0.2,
        weight_by_work: false,
        marks_retries: false,
        cells: 6,
        replica_cells: 3,
        shards: 12,
        max_parts_per_call: 8,
        call_cost: 20.0,
        max_attempts: 3,
        hedging: true,
        cancellation: true,
        max_retry_after: Some(MAX_RETRY_AFTER),
        gossip: false,
        tick: TICK,
        list_source: EndpointListSource::Pushed,
        list_poll_deadline: 10_000.0,
        retry_budget: None,
        warm_up: WarmUp {
            initial_capacity: 0.2,
            duration: 10_000.0,
            overload_factor: 2.0,
            overload_window: 2000.0,
        },
    }
}

/// The ring with this class alone.
pub fn ring_with_class(class: Class) -> Settings {
    Settings {
        classes: vec![class],
        ..ring()
    }
}

/// The ring where a part may have one attempt in flight only.
pub fn ring_without_hedging() -> Settings {
    Settings {
        hedging: false,
        ..ring()
    }
}

/// One cell that holds all shards.
pub fn one_cell() -> Settings {
    Settings {
        cells: 1,
        replica_cells: 1,
        ..ring()
    }
}

/// Two sets of servers, each of which holds every second shard.
pub fn sets() -> Settings {
    Settings {
        cells: 2,
        replica_cells: 1,
        shards: 6,
        ..ring()
    }
}

/// The identifier of a query.
pub fn query_id(name: &str) -> QueryId {
    QueryId(name.into())
}

/// The identifier of a part.
pub fn part_id(name: &str) -> PartId {
    PartId(name.into())
}

/// A server that has long been running.
pub fn endpoint(name: &str, cell: usize) -> Endpoint {
    let node = NodeId(name.into());
    Endpoint {
        node,
        cell,
        state: ServingState::Serving,
        zone: None,
        started: None,
    }
}

/// An update of the endpoint list.
pub fn list_event(update: ListUpdate, endpoints: Vec<Endpoint>) -> Event {
    Event::EndpointList { update, endpoints }
}

/// The end of an attempt, without a load report.
pub fn attempt_ended(part: &str, attempt: u32, outcome: Outcome, elapsed: Ms) -> Event {
    Event::AttemptEnded {
        part: part_id(part),
        attempt,
        outcome,
        elapsed,
        load: None,
    }
}

/// The end of attempts that were all served; `attempt` is the index of each among those of its part.
pub fn served(attempts: &[SentAttempt], attempt: u32, elapsed: Ms) -> Vec<Event> {
    let end = |sent: &SentAttempt| attempt_ended(&sent.part, attempt, Outcome::Served, elapsed);
    attempts.iter().map(end).collect()
}

/// An attempt among the actions.
#[derive(Clone, Debug, PartialEq)]
pub struct SentAttempt {
    pub part: String,
    pub node: String,
    pub timeout: Option<Ms>,
}

/// The attempts among the actions.
pub fn sent_attempts(actions: &[Action]) -> Vec<SentAttempt> {
    let to_attempt = |action: &Action| match action {
        Action::SendAttempt {
            part,
            node,
            timeout,
        } => Some(SentAttempt {
            part: part.0.to_string(),
            node: node.0.to_string(),
            timeout: *timeout,
        }),
        _ => None,
    };
    actions.iter().filter_map(to_attempt).collect()
}

/// The servers that attempts among the actions go to.
pub fn servers_of(actions: &[Action]) -> BTreeSet<String> {
    sent_attempts(actions)
        .into_iter()
        .map(|attempt| attempt.node)
        .collect()
}

/// The final responses among the actions.
pub fn final_responses(actions: &[Action]) -> Vec<Action> {
    let is_final = |action: &&Action| {
        matches!(
            action,
            Action::Answer { .. } | Action::Reject { .. } | Action::Fail { .. }
        )
    };
    actions.iter().filter(is_final).cloned().collect()
}

/// The rejection of a query with the largest retry-after value.
pub fn rejected(name: &str) -> Action {
    Action::Reject {
        query: query_id(name),
        retry_after: Some(MAX_RETRY_AFTER),
    }
}

/// The failure of a query.
pub fn failed(name: &str) -> Action {
    Action::Fail {
        query: query_id(name),
    }
}

/// The complete answer to a query.
pub fn complete_answer(name: &str) -> Action {
    Action::Answer {
        query: query_id(name),
        complete: true,
    }
}

/// The partial answer to a query.
pub fn partial_answer(name: &str) -> Action {
    Action::Answer {
        query: query_id(name),
        complete: false,
    }
}

/// Submits one-part queries one after the other and has each answered after 20 milliseconds, so that the aggregator
/// learns the usual latency and the clients' timeout.
pub fn answer_queries(policy: &mut Harness, count: usize, client_timeout: Ms) {
    for n in 0..count {
        let events =
            policy.query_events(&format!("u{n}-{client_timeout}"), 0, &[0], client_timeout);
        let sent = sent_attempts(&policy.advance(TICK, events));
        policy.advance(20.0, served(&sent, 0, 20.0));
    }
}

/// An aggregator with a clock and a timer.
pub struct Harness {
    pub aggregator: Aggregator,
    pub now: Ms,
    timer_fires_at: Ms,
    last_group: u64,
}

impl Harness {
    /// An aggregator that has read a list with `per_cell` servers in each cell: `c0n0`, `c0n1`, `c1n0` and so on.
    pub fn new(settings: Settings, per_cell: usize) -> Harness {
        let mut endpoints = Vec::new();
        for cell in 0..settings.cells {
            endpoints.extend((0..per_cell).map(|n| endpoint(&format!("c{cell}n{n}"), cell)));
        }
        let mut harness = Harness {
            aggregator: Aggregator::new(settings, SEED),
            now: 0.0,
            timer_fires_at: f64::INFINITY,
            last_group: 0,
        };
        harness.run_batch(0.0, vec![list_event(ListUpdate::Cached, endpoints)]);
        harness
    }

    /// Runs a batch with these events `after` the last one, and before it the batches of timers that fire until then.
    pub fn advance(&mut self, after: Ms, events: Vec<Event>) -> Vec<Action> {
        let end = self.now + after;
        let mut actions = Vec::new();
        while self.timer_fires_at < end {
            actions.extend(self.run_batch(self.timer_fires_at, vec![]));
        }
        actions.extend(self.run_batch(end, events));
        actions
    }

    /// Runs one batch, as if the aggregator had paused since the last one.
    pub fn run_batch(&mut self, now: Ms, mut events: Vec<Event>) -> Vec<Action> {
        self.now = now;
        if now >= self.timer_fires_at {
            self.timer_fires_at = f64::INFINITY;
            events.push(Event::TimerFired);
        }
        let actions = self.aggregator.on_batch(now, events);
        for action in &actions {
            if let Action::SetTimer { after } = action {
                self.timer_fires_at = now + after;
            }
        }
        actions
    }

    /// Advances by this time, at the end of which an attempt ends that took as long.
    pub fn end_attempt(
        &mut self,
        part: &str,
        attempt: u32,
        outcome: Outcome,
        elapsed: Ms,
    ) -> Vec<Action> {
        let end = attempt_ended(part, attempt, outcome, elapsed);
        self.advance(elapsed, vec![end])
    }

    /// The arrival of a query at the next tick, with a part `name.shard` of equal weight for each shard.
    pub fn query_events(
        &mut self,
        name: &str,
        class: usize,
        shards: &[usize],
        client_timeout: Ms,
    ) -> Vec<Event> {
        self.last_group += 1;
        let group = self.last_group;
        let query = Query {
            id: query_id(name),
            group,
            class: ClassIndex(class),
            tenant: TenantIndex(0),
            client_deadline: self.now + TICK + client_timeout,
            is_retry: false,
        };
        let weight = 1.0 / shards.len() as f64;
        let mut events = vec![Event::Query(query)];
        for &shard in shards {
            let id = part_id(&format!("{name}.{shard}"));
            events.push(Event::Part(Part {
                id,
                group,
                shard,
                weight,
                cost_hint: None,
            }));
        }
        events
    }

    /// Submits a query of the first class at the next tick.
    pub fn submit(&mut self, name: &str, shards: &[usize]) -> Vec<Action> {
        let events = self.query_events(name, 0, shards, CLIENT_TIMEOUT);
        self.advance(TICK, events)
    }

    /// Submits one-part queries one after the other. Attempts at the `faulty` servers have the given outcome, all
    /// others are served. Returns the number of attempts at each server.
    pub fn run_traffic(
        &mut self,
        count: usize,
        faulty: &[&str],
        outcome: Outcome,
    ) -> BTreeMap<String, usize> {
        let mut attempts_by_server = BTreeMap::new();
        for n in 0..count {
            let name = format!("t{}-{n}", self.last_group);
            let mut open = sent_attempts(&self.submit(&name, &[n % 3]));
            let mut attempt = 0;
            while let Some(SentAttempt { part, node, .. }) = open.pop() {
                let outcome = if faulty.contains(&node.as_str()) {
                    outcome
                } else {
                    Outcome::Served
                };
                *attempts_by_server.entry(node).or_default() += 1;
                let end = attempt_ended(&part, attempt, outcome, 30.0);
                open.extend(sent_attempts(&self.advance(30.0, vec![end])));
                attempt += 1;
            }
        }
        attempts_by_server
    }
}
