//! An aggregator with a clock and a timer.

use super::actions::{SentAttempt, final_responses, sent_attempts};
use super::events::{attempt_ended, endpoint, list_event, part_id, query_id, served};
use super::settings::TICK;
use fanout_policy::Aggregator;
use fanout_policy::api::{
    Action, ClassIndex, Endpoint, Event, ListUpdate, Ms, Outcome, Part, Query, Settings,
    TenantIndex,
};
use std::collections::BTreeMap;

/// Time after which a client of [`Harness::submit`] gives up, in milliseconds.
const CLIENT_TIMEOUT: Ms = 4000.0;
/// Seed of the harness's aggregator.
const SEED: u64 = 11;

/// An aggregator with a clock and a timer.
pub struct Harness {
    pub aggregator: Aggregator,
    pub now: Ms,
    timer_fires_at: Ms,
    last_group: u64,
}

impl Harness {
    /// An aggregator that has read a list with `per_cell` servers in each cell: `c0n0`, `c0n1`,
    /// `c1n0` and so on.
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

    /// Runs a batch with these events `after` the last one, and before it the batches of timers
    /// that fire until then.
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

    /// The arrival of a query at the next tick, with a part `name.shard` of equal weight for each
    /// shard.
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

    /// The attempts of a query of the first class that is submitted at the next tick.
    pub fn attempts_for(&mut self, name: &str, shards: &[usize]) -> Vec<SentAttempt> {
        sent_attempts(&self.submit(name, shards))
    }

    /// Submits a query with one part, which is served after this time, and returns its server.
    pub fn serve_part(&mut self, name: &str, shard: usize, elapsed: Ms) -> String {
        let SentAttempt { part, node, .. } = self.attempts_for(name, &[shard]).swap_remove(0);
        self.end_attempt(&part, 0, Outcome::Served, elapsed);
        node
    }

    /// The final responses that a query of the first class gets at the next tick.
    pub fn responses_to(&mut self, name: &str, shards: &[usize]) -> Vec<Action> {
        final_responses(&self.submit(name, shards))
    }

    /// The attempts that [`Harness::advance`] leads to.
    pub fn attempts_after(&mut self, after: Ms, events: Vec<Event>) -> Vec<SentAttempt> {
        sent_attempts(&self.advance(after, events))
    }

    /// The final responses that [`Harness::advance`] leads to.
    pub fn responses_after(&mut self, after: Ms, events: Vec<Event>) -> Vec<Action> {
        final_responses(&self.advance(after, events))
    }

    /// Runs this many batches without events, one a tick, and returns their actions.
    pub fn run_ticks(&mut self, count: usize) -> Vec<Action> {
        let mut actions = Vec::new();
        for _ in 0..count {
            actions.extend(self.advance(TICK, vec![]));
        }
        actions
    }

    /// Updates the endpoint list at the next tick.
    pub fn update_list(&mut self, update: ListUpdate, endpoints: Vec<Endpoint>) {
        self.advance(TICK, vec![list_event(update, endpoints)]);
    }

    /// Submits one-part queries one after the other. Attempts at the `faulty` servers have the
    /// given outcome, all others are served. Returns the number of attempts at each server.
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

    /// Submits one-part queries one after the other and has each answered after 20 milliseconds, so
    /// that the aggregator learns the usual latency and the clients' timeout.
    pub fn answer_queries(&mut self, count: usize, client_timeout: Ms) {
        for n in 0..count {
            let name = format!("u{n}-{client_timeout}");
            let events = self.query_events(&name, 0, &[0], client_timeout);
            let sent = self.attempts_after(TICK, events);
            self.advance(20.0, served(&sent, 0, 20.0));
        }
    }
}
