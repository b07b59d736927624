//! The facade of the decisions, in blocking style: hand in what a turn brought, carry out what comes back.
//!
//! It knows no protocol. Queries, parts and servers are numbers and names here, so any front can go through the
//! same decisions and rules. It alone sees the module's events and actions, and it alone counts what is open:
//! a query enters in [`PolicyEngine::submit`] and leaves with its one [`FinishedQuery`] or in [`PolicyEngine::abandon`].

use broker_types::query::{AttemptId, PartIndex, PartSpec, QueryId};
use broker_types::server::{ListScope, NodeId, Outcome, ServerInfo};
use broker_types::time::{MILLI, Micros, millis};
use fanout_policy::Aggregator;
use fanout_policy::api::{
    Action, ClassIndex, Endpoint, Event, ListUpdate, Part, PartId, ServingState, Settings,
    TenantIndex,
};
use fanout_policy::over_capacity_retry_after;
use fanout_policy::view::ClassView;
use std::collections::{BTreeMap, BTreeSet};

/// A query that wants answers from its shards.
#[derive(Clone, Debug)]
pub struct QuerySpec {
    /// Its number.
    pub id: QueryId,
    /// Index of its class.
    pub class: usize,
    /// Index of its tenant.
    pub tenant: usize,
    /// When its client gives up.
    pub deadline: Micros,
    /// Whether its client marked it as a repeat.
    pub is_retry: bool,
    /// Its parts.
    pub parts: Vec<PartSpec>,
}

/// How an attempt ended.
#[derive(Clone, Debug)]
pub struct AttemptReport {
    /// The attempt.
    pub attempt: AttemptId,
    /// How it ended.
    pub outcome: Outcome,
    /// Time since it was dispatched.
    pub elapsed: Micros,
    /// How much the server said it holds.
    pub load: Option<f64>,
}

/// An attempt to send.
#[derive(Clone, Debug, PartialEq)]
pub struct Dispatch {
    /// The attempt.
    pub attempt: AttemptId,
    /// Where to.
    pub server: NodeId,
    /// When to stop waiting for it.
    pub deadline: Micros,
}

/// How a query ends.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum QueryOutcome {
    /// Answer from the parts that are in.
    Answered {
        /// Whether the answer is whole.
        is_complete: bool,
    },
    /// Not served; trying again is harmless.
    Rejected {
        /// When to come back.
        retry_after: Option<Micros>,
    },
    /// Not served, promising nothing.
    Failed,
}

/// The one final answer of a query.
#[derive(Clone, Debug, PartialEq)]
pub struct FinishedQuery {
    /// The query.
    pub query: QueryId,
    /// How it ends.
    pub outcome: QueryOutcome,
}

/// What is to be done, in the order give up, finish, dispatch.
#[derive(Debug, Default, PartialEq)]
pub struct Decisions {
    /// Attempts to stop waiting for. Each still gets its report.
    pub cancellations: Vec<AttemptId>,
    /// Final answers to give at once.
    pub finished: Vec<FinishedQuery>,
    /// Attempts to send.
    pub dispatches: Vec<Dispatch>,
    /// Queries among the final answers that there was no room for.
    pub over_capacity: usize,
    /// Queries among the final answers that the decisions had left to run out of time.
    pub expired: usize,
}

/// What the decisions go by. Of classes, the figures stand in their order.
#[derive(Clone, Debug, PartialEq)]
pub struct PolicySummary {
    /// Servers that may be sent something.
    pub serving: usize,
    /// Servers passed over for their failures, or since they are full.
    pub ejected: usize,
    /// Servers that may be cold.
    pub warming_up: usize,
    /// Time until an answer per work out at a server.
    pub latency_per_work: f64,
    /// Servers that take more than twice as long.
    pub slow: usize,
    /// Rows touched.
    pub touched_rows: String,
    /// Work of a part, in milliseconds.
    pub part_cost_ms: String,
    /// How much longer than forecast queries take, in milliseconds.
    pub forecast_error_ms: String,
}

/// A server is told as slow from this multiple of the fleet's pace on.
const SLOW: f64 = 2.0;

struct Open {
    /// Attempts dispatched so far, by part: the module numbers them by their order alone.
    attempts: Vec<u32>,
    give_up_at: Micros,
}

/// The decisions, and what they have in hand.
pub struct PolicyEngine {
    aggregator: Aggregator,
    settings: Settings,
    max_in_flight: usize,
    /// Queries and parts in hand.
    in_flight: usize,
    open: BTreeMap<QueryId, Open>,
    /// The open queries by the time at which their clients give up.
    ends: BTreeSet<(Micros, QueryId)>,
    /// Events that go in with the next call.
    staged: Vec<Event>,
    wake_at: Option<Micros>,
}

impl PolicyEngine {
    /// A core that may hold so many queries and parts.
    #[must_use]
    pub fn new(settings: Settings, max_in_flight: usize, seed: u64) -> Self {
        PolicyEngine {
            aggregator: Aggregator::new(settings.clone(), seed),
            settings,
            max_in_flight,
            in_flight: 0,
            open: BTreeMap::new(),
            ends: BTreeSet::new(),
            staged: Vec::new(),
            wake_at: Some(0),
        }
    }

    /// Takes news of the list of servers. It counts from the next call on.
    pub fn update_endpoints(&mut self, scope: ListScope, servers: Vec<ServerInfo>) {
        let kind = match scope {
            ListScope::Cached => ListUpdate::Cached,
            ListScope::Snapshot => ListUpdate::Snapshot,
            ListScope::Delta => ListUpdate::Delta,
        };
        let member = |s: ServerInfo| Endpoint {
            node: s.name,
            cell: s.cell,
            state: s.state,
            zone: s.zone,
            started: s.started_at.map(|at| at as f64 / MILLI as f64),
        };
        self.staged.push(Event::EndpointList {
            update: kind,
            endpoints: servers.into_iter().map(member).collect(),
        });
    }

    /// The query's client has gone away: nothing more is owed.
    pub fn abandon(&mut self, query: QueryId) {
        if self.close(query) {
            self.staged
                .push(Event::ClientDisconnected(query_name(query)));
        }
    }

    /// Takes the attempts that ended.
    pub fn on_attempts_ended(&mut self, now: Micros, reports: Vec<AttemptReport>) -> Decisions {
        if reports.is_empty() {
            return Decisions::default();
        }
        self.staged
            .extend(reports.into_iter().map(|r| Event::AttemptEnded {
                part: part_name(r.attempt.query, r.attempt.part),
                attempt: r.attempt.attempt,
                outcome: r.outcome,
                elapsed: to_ms(r.elapsed),
                load: r.load,
            }));
        self.run(now)
    }

    /// Takes the queries that came. One that there is no room for is refused before the decisions see it.
    pub fn submit(&mut self, now: Micros, queries: Vec<QuerySpec>) -> Decisions {
        if queries.is_empty() {
            return Decisions::default();
        }
        let mut refused = Vec::new();
        for q in queries {
            let needs = 1 + q.parts.len();
            if self.in_flight + needs > self.max_in_flight {
                let retry_after = over_capacity_retry_after(&self.settings, q.class).map(millis);
                refused.push(FinishedQuery {
                    query: q.id,
                    outcome: QueryOutcome::Rejected { retry_after },
                });
                continue;
            }
            self.in_flight += needs;
            self.ends.insert((q.deadline, q.id));
            self.open.insert(
                q.id,
                Open {
                    attempts: vec![0; q.parts.len()],
                    give_up_at: q.deadline,
                },
            );
            self.staged.push(Event::Query(fanout_policy::api::Query {
                id: query_name(q.id),
                group: q.id.0,
                class: ClassIndex(q.class),
                tenant: TenantIndex(q.tenant),
                client_deadline: to_ms(q.deadline),
                is_retry: q.is_retry,
            }));
            self.staged.extend(q.parts.iter().enumerate().map(|(i, p)| {
                Event::Part(Part {
                    id: part_name(q.id, PartIndex(i)),
                    group: q.id.0,
                    shard: p.shard,
                    weight: p.weight,
                    cost_hint: p.work_hint.map(to_ms),
                })
            }));
        }
        let mut decisions = self.run(now);
        decisions.over_capacity = refused.len();
        decisions.finished.extend(refused);
        decisions
    }

    /// Ends the turn: wakes the decisions where they asked for it, and fails what is about to run out of time.
    pub fn poll(&mut self, now: Micros) -> Decisions {
        let mut decisions = Decisions::default();
        if self.wake_at.take_if(|at| now >= *at).is_some() {
            self.staged.push(Event::TimerFired);
        }
        if !self.staged.is_empty() {
            decisions = self.run(now);
        }
        // Guards against a module that says nothing: what a broker took gets its answer before its time is up.
        let last = now + millis(self.settings.tick);
        while let Some(&(_, query)) = self.ends.first().filter(|(at, _)| *at <= last) {
            self.abandon(query);
            decisions.finished.push(FinishedQuery {
                query,
                outcome: QueryOutcome::Failed,
            });
            decisions.expired += 1;
        }
        decisions
    }

    /// When [`PolicyEngine::poll`] is due.
    #[must_use]
    pub fn next_deadline(&self) -> Micros {
        let margin = millis(self.settings.tick);
        let end = self.ends.first().map(|(at, _)| at.saturating_sub(margin));
        let wake = if self.staged.is_empty() {
            self.wake_at
        } else {
            Some(0)
        };
        [end, wake]
            .into_iter()
            .flatten()
            .min()
            .unwrap_or(Micros::MAX)
    }

    /// What the decisions go by, as one line of a log can tell it.
    #[must_use]
    pub fn summary(&self, now: Micros) -> PolicySummary {
        let views = self.aggregator.views(to_ms(now));
        let classes = self.aggregator.class_views();
        let join = |of: &dyn Fn(&ClassView) -> f64| {
            classes
                .iter()
                .map(|c| format!("{:.1}", of(c)))
                .collect::<Vec<_>>()
                .join(",")
        };
        PolicySummary {
            serving: views
                .iter()
                .filter(|v| v.state == ServingState::Serving)
                .count(),
            ejected: views.iter().filter(|v| v.ejected_until.is_some()).count(),
            warming_up: views.iter().filter(|v| v.cold_since.is_some()).count(),
            latency_per_work: self.aggregator.usual_pace(),
            slow: views.iter().filter(|v| v.pace > SLOW).count(),
            touched_rows: join(&|c| c.rows),
            part_cost_ms: join(&|c| c.unit),
            forecast_error_ms: join(&|c| c.lag),
        }
    }

    /// Queries and parts in hand.
    #[must_use]
    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    /// The one place where a query is given back. True if it was open.
    fn close(&mut self, query: QueryId) -> bool {
        let Some(open) = self.open.remove(&query) else {
            return false;
        };
        self.in_flight -= 1 + open.attempts.len();
        self.ends.remove(&(open.give_up_at, query));
        true
    }

    fn run(&mut self, now: Micros) -> Decisions {
        let mut decisions = Decisions::default();
        let events = std::mem::take(&mut self.staged);
        for action in self.aggregator.on_batch(to_ms(now), events) {
            match action {
                Action::SendAttempt {
                    part,
                    node,
                    timeout,
                } => {
                    let Some(attempt) = self.next_attempt(&part) else {
                        continue;
                    };
                    let give_up_at = self
                        .open
                        .get(&attempt.query)
                        .map_or(now, |open| open.give_up_at);
                    let deadline =
                        timeout.map_or(give_up_at, |ms| give_up_at.min(now + millis(ms)));
                    decisions.dispatches.push(Dispatch {
                        attempt,
                        server: node,
                        deadline,
                    });
                }
                Action::CancelAttempt { part, attempt } => {
                    if let Some((query, part)) = parse_part(&part) {
                        decisions.cancellations.push(AttemptId {
                            query,
                            part,
                            attempt,
                        });
                    }
                }
                Action::Answer { query, complete } => {
                    self.finish(
                        &mut decisions,
                        &query,
                        QueryOutcome::Answered {
                            is_complete: complete,
                        },
                    );
                }
                Action::Reject { query, retry_after } => {
                    let retry_after = retry_after.map(millis);
                    self.finish(
                        &mut decisions,
                        &query,
                        QueryOutcome::Rejected { retry_after },
                    );
                }
                Action::Fail { query } => self.finish(&mut decisions, &query, QueryOutcome::Failed),
                Action::SetTimer { after } => self.wake_at = Some(now + millis(after)),
                // Brokers share only the network, and the list is always watched.
                Action::PublishLoad { .. } | Action::PollEndpointList => {}
            }
        }
        decisions
    }

    fn finish(
        &mut self,
        decisions: &mut Decisions,
        query: &fanout_policy::api::QueryId,
        outcome: QueryOutcome,
    ) {
        if let Some(query) = query
            .0
            .parse()
            .ok()
            .map(QueryId)
            .filter(|query| self.close(*query))
        {
            decisions.finished.push(FinishedQuery { query, outcome });
        }
    }

    /// The attempt that the module starts with a send for this part.
    fn next_attempt(&mut self, part: &PartId) -> Option<AttemptId> {
        let (query, part) = parse_part(part)?;
        let attempts = self.open.get_mut(&query)?.attempts.get_mut(part.0)?;
        *attempts += 1;
        Some(AttemptId {
            query,
            part,
            attempt: *attempts - 1,
        })
    }
}

/// The module's milliseconds: the one place where time leaves whole microseconds.
fn to_ms(time: Micros) -> f64 {
    time as f64 / MILLI as f64
}

/// The module orders its work by name, so that numbers are padded: queries then come in the order of arrival.
fn query_name(query: QueryId) -> fanout_policy::api::QueryId {
    fanout_policy::api::QueryId(format!("{:020}", query.0).into())
}

fn part_name(query: QueryId, part: PartIndex) -> PartId {
    PartId(format!("{:020}.{:03}", query.0, part.0).into())
}

fn parse_part(name: &PartId) -> Option<(QueryId, PartIndex)> {
    let (query, part) = name.0.split_once('.')?;
    Some((QueryId(query.parse().ok()?), PartIndex(part.parse().ok()?)))
}

#[cfg(test)]
mod tests {
    use super::*;
    use fanout_policy::settings::{Message, decode};
    use serde_json::Value;

    fn core(max_in_flight: usize) -> PolicyEngine {
        let settings: Value =
            serde_json::from_str(include_str!("../../broker-types/tests/settings.json")).unwrap();
        let site = decode(&Message::new("settings", settings.as_object().unwrap())).unwrap();
        let mut core = PolicyEngine::new(site.settings, max_in_flight, 7);
        let server = |n: usize| ServerInfo {
            name: NodeId(format!("s{n}").into()),
            cell: 0,
            state: ServingState::Serving,
            zone: None,
            started_at: None,
        };
        core.update_endpoints(ListScope::Cached, (0..2).map(server).collect());
        core
    }

    fn query(id: u64, shards: &[usize]) -> QuerySpec {
        let weight = 1.0 / shards.len() as f64;
        let parts = shards
            .iter()
            .map(|&shard| PartSpec {
                shard,
                weight,
                work_hint: None,
            })
            .collect();
        QuerySpec {
            id: QueryId(id),
            class: 0,
            tenant: 0,
            deadline: 1_000_000,
            is_retry: false,
            parts,
        }
    }

    fn ended(attempt: AttemptId, outcome: Outcome) -> AttemptReport {
        AttemptReport {
            attempt,
            outcome,
            elapsed: 20_000,
            load: None,
        }
    }

    #[test]
    fn a_query_goes_out_is_tried_again_and_ends_once() {
        let mut core = core(10);
        let first = core.submit(1000, vec![query(1, &[0, 1])]).dispatches;
        assert_eq!(
            first.iter().map(|d| d.attempt.part).collect::<Vec<_>>(),
            [PartIndex(0), PartIndex(1)]
        );
        assert!(
            first
                .iter()
                .all(|d| d.attempt.attempt == 0 && d.deadline <= 1_000_000)
        );
        let attempts = first.iter().map(|d| d.attempt);
        let outcomes = [Outcome::Served, Outcome::Overloaded];
        let is_retry = core.on_attempts_ended(
            30_000,
            attempts.zip(outcomes).map(|(a, o)| ended(a, o)).collect(),
        );
        assert_eq!(is_retry.finished, []);
        assert_eq!(
            is_retry.dispatches[0].attempt,
            AttemptId {
                query: QueryId(1),
                part: PartIndex(1),
                attempt: 1
            }
        );
        let last = core.on_attempts_ended(
            60_000,
            vec![ended(is_retry.dispatches[0].attempt, Outcome::Served)],
        );
        assert_eq!(
            last.finished,
            [FinishedQuery {
                query: QueryId(1),
                outcome: QueryOutcome::Answered { is_complete: true }
            }]
        );
        assert_eq!(
            (core.in_flight(), core.poll(2_000_000).finished),
            (0, vec![])
        );
    }

    /// Beyond MaxOpen the simulator never hands a query over, so that the module does not expect one.
    #[test]
    fn what_finds_no_room_is_refused_with_advice_and_room_comes_back() {
        let mut core = core(3);
        let both = core.submit(1000, vec![query(1, &[0, 1]), query(2, &[2])]);
        assert!(matches!(
            both.finished[..],
            [FinishedQuery {
                query: QueryId(2),
                outcome: QueryOutcome::Rejected {
                    retry_after: Some(_)
                }
            }]
        ));
        assert_eq!(
            (core.in_flight(), both.dispatches.len(), both.over_capacity),
            (3, 2, 1)
        );
        core.abandon(QueryId(1));
        core.abandon(QueryId(1));
        assert_eq!(core.in_flight(), 0);
        let next = core.submit(6000, vec![query(3, &[2])]);
        assert_eq!(
            (
                next.cancellations.len(),
                next.dispatches.len(),
                core.in_flight()
            ),
            (2, 1, 2)
        );
    }

    /// Whatever the module does, a query is not left to run out of time.
    #[test]
    fn a_query_that_the_module_forgets_is_failed_in_time() {
        let mut core = core(10);
        core.submit(1000, vec![query(1, &[0])]);
        core.aggregator = Aggregator::new(core.settings.clone(), 7);
        assert!(core.next_deadline() <= 1_000_000 - 5000);
        let late = core.poll(995_000);
        assert_eq!(
            late.finished,
            [FinishedQuery {
                query: QueryId(1),
                outcome: QueryOutcome::Failed
            }]
        );
        assert_eq!((late.expired, core.in_flight()), (1, 0));
    }

    #[test]
    fn a_drained_server_is_sent_nothing_from_the_same_turn_on() {
        let mut core = core(100);
        let name = core.submit(1000, vec![query(1, &[0])]).dispatches[0]
            .server
            .clone();
        let state = ServingState::Draining;
        core.update_endpoints(
            ListScope::Delta,
            vec![ServerInfo {
                name: name.clone(),
                cell: 0,
                state,
                zone: None,
                started_at: None,
            }],
        );
        for id in 2..20 {
            let sent = core.submit(6000, vec![query(id, &[0])]).dispatches;
            assert!(sent.iter().all(|d| d.server != name));
        }
    }
}
