//! A harness that runs an aggregator on a simulated clock and fires its timer.

use super::actions::{SentAttempt, final_responses, sent_attempts};
use super::events::{attempt_ended, endpoint, list_event, part_id, query_id, served};
use super::settings::TICK;
use fanout_policy::Aggregator;
use fanout_policy::api::{
    Action, ClassIndex, Endpoint, Event, ListUpdate, Ms, Outcome, Part, Query, Settings,
    TenantIndex,
};
use std::collections::BTreeMap;

/// Client timeout of queries that [`Harness::submit`] sends, in milliseconds.
const CLIENT_TIMEOUT: Ms = 4000.0;
/// Seed of the aggregator's random numbers.
const SEED: u64 = 11;

/// An aggregator, the simulated time, and the timer that the aggregator has set.
pub struct Harness {
    pub aggregator: Aggregator,
    /// Time of the latest batch.
    pub now: Ms,
    /// When the aggregator's timer fires; infinite while none is set.
    timer_fires_at: Ms,
    /// Number of the latest query; the query and its parts refer to each other by it.
    last_group: u64,
}

impl Harness {
    /// Creates an aggregator and gives it a cached endpoint list with `per_cell` servers in each
    /// cell. Server `n` of cell `c` has the name `c{c}n{n}`: `c0n0`, `c0n1`, `c1n0` and so on.
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

    /// Runs a batch with the events, `elapsed` milliseconds after the latest batch. If the timer
    /// fires before that time, the batches that it triggers run first. Returns the actions of all
    /// these batches.
    pub fn advance(&mut self, elapsed: Ms, events: Vec<Event>) -> Vec<Action> {
        let end = self.now + elapsed;
        let mut actions = Vec::new();
        while self.timer_fires_at < end {
            actions.extend(self.run_batch(self.timer_fires_at, vec![]));
        }
        actions.extend(self.run_batch(end, events));
        actions
    }

    /// Runs one batch at the time `now`, even if the timer was due earlier. The aggregator then
    /// sees a late batch, as after a pause of its own process.
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

    /// Advances by `elapsed` and ends an attempt that was sent at the start of that period.
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

    /// Creates the events of a query that arrives at the next tick and of its parts, one for each
    /// shard. The parts have equal weights and the identifiers `name.shard`.
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
            waited: 0.0,
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

    /// Submits a query of the first class at the next tick and returns the actions.
    pub fn submit(&mut self, name: &str, shards: &[usize]) -> Vec<Action> {
        let events = self.query_events(name, 0, shards, CLIENT_TIMEOUT);
        self.advance(TICK, events)
    }

    /// Submits a query of the first class at the next tick and returns the attempts that are sent.
    pub fn attempts_for(&mut self, name: &str, shards: &[usize]) -> Vec<SentAttempt> {
        sent_attempts(&self.submit(name, shards))
    }

    /// Submits a query with one part, serves the part after `elapsed`, and returns the name of the
    /// server that it was sent to.
    pub fn serve_part(&mut self, name: &str, shard: usize, elapsed: Ms) -> String {
        let SentAttempt { part, node, .. } = self.attempts_for(name, &[shard]).swap_remove(0);
        self.end_attempt(&part, 0, Outcome::Served, elapsed);
        node
    }

    /// Submits a query of the first class at the next tick and returns the final responses that the
    /// same batch gives.
    pub fn responses_to(&mut self, name: &str, shards: &[usize]) -> Vec<Action> {
        final_responses(&self.submit(name, shards))
    }

    /// Calls [`Harness::advance`] and returns the attempts that are sent.
    pub fn attempts_after(&mut self, elapsed: Ms, events: Vec<Event>) -> Vec<SentAttempt> {
        sent_attempts(&self.advance(elapsed, events))
    }

    /// Calls [`Harness::advance`] and returns the final responses.
    pub fn responses_after(&mut self, elapsed: Ms, events: Vec<Event>) -> Vec<Action> {
        final_responses(&self.advance(elapsed, events))
    }

    /// Advances by `count` ticks, with a batch without events at each, and returns all actions.
    pub fn run_ticks(&mut self, count: usize) -> Vec<Action> {
        let mut actions = Vec::new();
        for _ in 0..count {
            actions.extend(self.advance(TICK, vec![]));
        }
        actions
    }

    /// Sends an update of the endpoint list at the next tick.
    pub fn update_list(&mut self, update: ListUpdate, endpoints: Vec<Endpoint>) {
        self.advance(TICK, vec![list_event(update, endpoints)]);
    }

    /// Submits `count` one-part queries one after the other, and ends each attempt 30 milliseconds
    /// after it was sent: at the `faulty` servers with `outcome`, at all others as served. Returns
    /// the number of attempts at each server, retries included.
    pub fn run_traffic(
        &mut self,
        count: usize,
        faulty: &[&str],
        outcome: Outcome,
    ) -> BTreeMap<String, usize> {
        let mut attempts_by_server = BTreeMap::new();
        for n in 0..count {
            let name = format!("t{}-{n}", self.last_group);
            let mut in_flight = sent_attempts(&self.submit(&name, &[n % 3]));
            let mut attempt = 0;
            while let Some(SentAttempt { part, node, .. }) = in_flight.pop() {
                let outcome = if faulty.contains(&node.as_str()) {
                    outcome
                } else {
                    Outcome::Served
                };
                *attempts_by_server.entry(node).or_default() += 1;
                let end = attempt_ended(&part, attempt, outcome, 30.0);
                in_flight.extend(sent_attempts(&self.advance(30.0, vec![end])));
                attempt += 1;
            }
        }
        attempts_by_server
    }

    /// Submits `count` one-part queries one after the other and serves each after 20 milliseconds.
    /// The aggregator derives its estimates of the latency and of the clients' timeout from these
    /// queries.
    pub fn answer_queries(&mut self, count: usize, client_timeout: Ms) {
        for n in 0..count {
            let name = format!("u{n}-{client_timeout}");
            let events = self.query_events(&name, 0, &[0], client_timeout);
            let sent = self.attempts_after(TICK, events);
            self.advance(20.0, served(&sent, 0, 20.0));
        }
    }
}
