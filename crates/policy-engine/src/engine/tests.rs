//! Tests of the engine with the real policy and two servers.

use super::*;
use broker_types::query::{ClassIndex, PartIndex, PartSpec, TenantIndex};
use broker_types::server::{Outcome, ServingState};
use fanout_policy::settings::decode;
use serde_json::Value;

/// Deadline of all queries in these tests.
const DEADLINE: Timestamp = Timestamp::from_micros(1_000_000);

/// Returns the time `micros` microseconds after the origin of the clock.
const fn at(micros: u64) -> Timestamp {
    Timestamp::from_micros(micros)
}

fn server(name: NodeId, state: ServingState) -> ServerInfo {
    ServerInfo {
        name,
        cell: 0,
        state,
        zone: None,
        started_at: None,
    }
}

/// Creates an engine with two serving servers.
fn engine(max_in_flight: usize) -> PolicyEngine {
    let settings: Value =
        serde_json::from_str(include_str!("../../../broker-types/tests/settings.json")).unwrap();
    let site = decode("settings", settings.as_object().unwrap()).unwrap();
    let mut engine = PolicyEngine::new(site.settings, max_in_flight, 7);
    let names = ["s0", "s1"].map(|name| NodeId(name.into()));
    let servers = names.map(|name| server(name, ServingState::Serving));
    engine.update_endpoints(ListScope::Cached, servers.to_vec());
    engine
}

fn query(id: u64, shards: &[usize]) -> QuerySpec {
    let weight = 1.0 / shards.len() as f64;
    let part = |&shard: &usize| PartSpec {
        shard,
        weight,
        work_hint: None,
    };
    QuerySpec {
        id: QueryId(id),
        class: ClassIndex(0),
        tenant: TenantIndex(0),
        arrived_at: Timestamp::ORIGIN,
        deadline: DEADLINE,
        is_retry: false,
        parts: shards.iter().map(part).collect(),
    }
}

fn ended(attempt: AttemptId, outcome: Outcome) -> AttemptReport {
    AttemptReport {
        attempt,
        outcome,
        elapsed: Duration::from_millis(20),
        load: None,
    }
}

fn finished(query: u64, outcome: QueryOutcome) -> FinishedQuery {
    FinishedQuery {
        query: QueryId(query),
        outcome,
    }
}

#[test]
fn query_is_dispatched_retried_and_finished_once() {
    let mut engine = engine(10);
    let first = engine.submit(at(1000), vec![query(1, &[0, 1])]).dispatches;
    let parts: Vec<_> = first.iter().map(|d| d.attempt.part).collect();
    assert_eq!(parts, [PartIndex(0), PartIndex(1)]);
    assert!(
        first
            .iter()
            .all(|d| d.attempt.attempt == 0 && d.deadline <= DEADLINE)
    );
    let reports = vec![
        ended(first[0].attempt, Outcome::Served),
        ended(first[1].attempt, Outcome::Overloaded),
    ];
    let second = engine.on_attempts_ended(at(30_000), reports);
    assert_eq!(second.finished, []);
    let retry = second.dispatches[0].attempt;
    assert_eq!(
        retry,
        AttemptId {
            query: QueryId(1),
            part: PartIndex(1),
            attempt: 1
        }
    );
    let last = engine.on_attempts_ended(at(60_000), vec![ended(retry, Outcome::Served)]);
    let answered = QueryOutcome::Answered { is_complete: true };
    assert_eq!(last.finished, [finished(1, answered)]);
    assert_eq!(engine.in_flight(), 0);
    assert_eq!(engine.poll(at(2_000_000)).finished, []);
}

/// The policy also runs in a simulator, which never submits more than the setting `MaxOpen` allows,
/// so the policy does not expect queries beyond the capacity. The engine therefore rejects them
/// without passing them to the policy. The capacity counts queries and parts: the first query and
/// its two parts use all 3 units.
#[test]
fn query_over_capacity_is_rejected_with_retry_after_and_capacity_is_released() {
    let mut engine = engine(3);
    let both = engine.submit(at(1000), vec![query(1, &[0, 1]), query(2, &[2])]);
    assert!(matches!(
        both.finished[..],
        [FinishedQuery {
            query: QueryId(2),
            outcome: QueryOutcome::Rejected {
                retry_after: Some(_)
            }
        }]
    ));
    assert_eq!(engine.in_flight(), 3);
    assert_eq!((both.dispatches.len(), both.over_capacity), (2, 1));
    // The second call must not release the capacity again.
    engine.abandon(QueryId(1));
    engine.abandon(QueryId(1));
    assert_eq!(engine.in_flight(), 0);
    // The next batch also cancels the attempts at the two parts of the abandoned query.
    let next = engine.submit(at(6000), vec![query(3, &[2])]);
    assert_eq!(engine.in_flight(), 2);
    assert_eq!((next.cancellations.len(), next.dispatches.len()), (2, 1));
}

#[test]
fn query_that_the_policy_never_ends_fails_before_its_deadline() {
    let mut engine = engine(10);
    engine.submit(at(1000), vec![query(1, &[0])]);
    // The new policy has no record of the query, and thus never ends it.
    engine.policy = Aggregator::new(engine.settings.clone(), 7);
    // The engine fails a query one tick before its deadline, so that the client receives the
    // response in time. The settings of these tests have a tick of 5 ms.
    let tick = Duration::from_millis(5);
    let next_deadline = engine.next_deadline();
    assert!(next_deadline.is_some_and(|next| next <= DEADLINE - tick));
    let decisions = engine.poll(DEADLINE - tick);
    assert_eq!(decisions.finished, [finished(1, QueryOutcome::Failed)]);
    assert_eq!((decisions.expired, engine.in_flight()), (1, 0));
}

#[test]
fn draining_server_receives_no_attempt_from_the_next_batch_on() {
    let mut engine = engine(100);
    let first = engine.submit(at(1000), vec![query(1, &[0])]).dispatches;
    let name = first[0].server.clone();
    let draining = server(name.clone(), ServingState::Draining);
    engine.update_endpoints(ListScope::Delta, vec![draining]);
    for id in 2..20 {
        let sent = engine.submit(at(6000), vec![query(id, &[0])]).dispatches;
        assert!(sent.iter().all(|d| d.server != name));
    }
}
