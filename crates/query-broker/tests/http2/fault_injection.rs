//! A test with many concurrent queries under injected faults. Three connections have a hundred streams
//! each. While queries are sent, clients reset random streams, data servers fail, one data server is
//! drained, and another one is killed and restarted; a seed determines the random choices. Guards
//! against queries that never end or end twice, for the client or at the data servers.

use crate::fixture::Fixture;
use async_io::Timer;
use h2::Reason;
use load_generator::{Http2Client, Http2Stream, LoadQuery, QUERY_TEXT, QueryOutcome, ShardValue};
use rand::{Rng, RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use test_fleet::{Deployment, Fault, FleetPlan, part_value};

/// Number of client connections.
const CONNECTIONS: usize = 3;
/// Number of clients on a connection, each of which uses one stream at a time.
const STREAMS: usize = 100;
/// Number of queries that each client sends, one after another.
const QUERIES_PER_STREAM: usize = 4;

/// Time between two faults.
const FAULT_INTERVAL: Duration = Duration::from_millis(60);

/// How a query ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum QueryEnd {
    /// The client received an answer.
    Answered,
    /// The client reset its stream.
    Reset,
    /// The broker rejected the query, or refused its stream.
    Rejected,
    /// The broker responded with 502.
    Failed,
    /// The client could not open a stream on the connection.
    NotOpened,
}

/// The ends of each query, by the query's id. A query must have exactly one.
type QueryEnds = Rc<RefCell<BTreeMap<String, Vec<QueryEnd>>>>;

/// Creates a query of a random class for one to three random shards, with a random client timeout.
fn random_query(random: &mut Pcg64Mcg, id: String) -> LoadQuery {
    let from = random.random_range(0..6);
    let shards: Vec<usize> = (from..from + random.random_range(1..=3))
        .map(|shard| shard % 8)
        .collect();
    match random.random_range(0..4) {
        0 => {
            let key = format!("key-{id}");
            LoadQuery::new(id, "watchlist-save", &shards).with_idempotency_key(&key)
        }
        1 => LoadQuery::new(id, "ranking", &shards),
        _ => LoadQuery::new(id, "lookup", &shards),
    }
    .with_client_timeout(Duration::from_millis(random.random_range(300..2500)))
}

/// Sends one query after another, and records how each ends. Resets the stream of about a quarter of
/// them after a random time.
async fn run_client(http2: Rc<Http2Client>, ends: QueryEnds, name: String, seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    for round in 0..QUERIES_PER_STREAM {
        let query = random_query(&mut random, format!("{name}r{round}"));
        let is_reset = random.random_range(0..4) == 0;
        let reset_after = Duration::from_micros(random.next_u64() % 60_000);
        let end = match http2.open(&query.request()).await {
            Err(_) => QueryEnd::NotOpened,
            Ok(stream) if is_reset => {
                Timer::after(reset_after).await;
                stream.reset();
                QueryEnd::Reset
            }
            Ok(stream) => wait_for_end(stream, &query).await,
        };
        ends.borrow_mut().entry(query.id).or_default().push(end);
    }
}

/// Waits for the response to a query, checks it, and returns how the query ended.
async fn wait_for_end(stream: Http2Stream, query: &LoadQuery) -> QueryEnd {
    let id = &query.id;
    let response = match stream.response().await {
        Ok(response) => response,
        // The stream limit was exceeded: the broker may still count a stream that the client has just
        // reset.
        Err(error) if error.reason() == Some(Reason::REFUSED_STREAM) => return QueryEnd::Rejected,
        Err(error) => panic!("{id}: no response: {error}"),
    };
    match QueryOutcome::from_response(&response) {
        QueryOutcome::Answered { complete, values } => {
            check_answer(query, complete, &values);
            QueryEnd::Answered
        }
        QueryOutcome::Rejected(_) => QueryEnd::Rejected,
        QueryOutcome::Failed(502) => QueryEnd::Failed,
        other => panic!("{id}: unexpected outcome {other:?}"),
    }
}

/// Checks that all values of an answer are correct, and that the answer is marked complete if and only
/// if it has a value for each shard of the query.
fn check_answer(query: &LoadQuery, complete: bool, values: &[ShardValue]) {
    let is_correct = |value: &ShardValue| {
        query.shards.contains(&value.shard) && value.value == part_value(value.shard, QUERY_TEXT)
    };
    let has_value = |shard: &usize| values.iter().any(|value| value.shard == *shard);
    assert!(
        values.iter().all(is_correct) && complete == query.shards.iter().all(has_value),
        "{}: a wrong answer, marked complete: {complete}: {values:?}",
        query.id
    );
}

/// Injects faults that are chosen by the seed, in eight steps. Three of the steps drain server 0, and
/// kill and restart server 1. The others set a fault at a random server, but never at these two: if
/// such a step chooses server 1, it does nothing.
async fn inject_faults(fixture: &Fixture, seed: u64) {
    let mut random = Pcg64Mcg::seed_from_u64(seed);
    let faults = [
        Fault::ErrorEvery(3),
        Fault::ResetEvery(5),
        Fault::GarbleEvery(7),
        Fault::RejectAll,
        Fault::Hang,
        Fault::Slow(Duration::from_millis(150)),
    ];
    let servers = fixture.fleet.servers();
    for step in 0..8 {
        Timer::after(FAULT_INTERVAL).await;
        let server = random.random_range(1..servers.len());
        match step {
            3 => fixture.fleet.drain(0),
            4 => fixture.fleet.kill(1),
            6 => fixture.fleet.restart(1),
            _ if server != 1 => {
                servers[server].set_fault(faults[random.random_range(0..faults.len())]);
            }
            _ => {}
        }
    }
    for server in &servers[2..] {
        server.set_fault(Fault::None);
    }
}

/// The result of a run in which clients sent all their queries while faults were injected.
struct FaultInjectionRun {
    fixture: Fixture,
    ends: QueryEnds,
}

/// Starts a broker and a fleet, and runs all clients while faults are injected.
fn run(seed: u64) -> FaultInjectionRun {
    let plan = FleetPlan {
        servers: 6,
        part_duration: Duration::from_millis(10),
        ..FleetPlan::default()
    };
    let deployment = Deployment {
        max_in_flight: 2000,
        ..Deployment::default()
    };
    let operator_config = "listen-http2 127.0.0.1:0\nhttp2-streams 100\nlog-level debug\n";
    let fixture = Fixture::start(plan, deployment, operator_config);
    let ends = QueryEnds::default();
    fixture.run(async {
        let mut clients = Vec::new();
        for connection in 0..CONNECTIONS {
            let http2 = Rc::new(fixture.connect().await);
            for stream in 0..STREAMS {
                let name = format!("x{seed}c{connection}s{stream}");
                let seed = seed * 1_000_003 + (connection * STREAMS + stream) as u64;
                let client = run_client(http2.clone(), ends.clone(), name, seed);
                clients.push(fixture.executor.spawn(client));
            }
        }
        inject_faults(&fixture, seed).await;
        for client in clients {
            client.await;
        }
    });
    FaultInjectionRun { fixture, ends }
}

/// Checks that each query ended exactly once for its client, and that enough queries were answered and
/// enough were reset for the run to be meaningful.
fn check_ends(fixture: &mut Fixture, ends: &BTreeMap<String, Vec<QueryEnd>>) {
    assert_eq!(ends.len(), CONNECTIONS * STREAMS * QUERIES_PER_STREAM);
    let ended_repeatedly: Vec<_> = ends.iter().filter(|(_, ends)| ends.len() != 1).collect();
    assert!(
        ended_repeatedly.is_empty(),
        "expected one end of each query for its client, found {ended_repeatedly:?}"
    );
    let mut counts: BTreeMap<QueryEnd, usize> = BTreeMap::new();
    for ends in ends.values() {
        *counts.entry(ends[0]).or_default() += 1;
    }
    let count = |end| counts.get(&end).copied().unwrap_or(0);
    assert!(
        count(QueryEnd::Answered) > ends.len() / 3,
        "expected more than a third of {} queries to be answered, found {counts:?}",
        ends.len()
    );
    assert!(
        count(QueryEnd::Reset) > 100 && count(QueryEnd::NotOpened) == 0,
        "expected more than 100 reset queries and none without a stream, found {counts:?}; log: {:?}",
        fixture.broker.log_lines()
    );
}

#[test]
fn every_query_ends_exactly_once_under_faults_and_resets() {
    for seed in [1, 2] {
        let FaultInjectionRun { mut fixture, ends } = run(seed);
        fixture.broker.signal("TERM").unwrap();
        assert!(fixture.broker.wait_for_exit().unwrap().success());
        check_ends(&mut fixture, &ends.take());
        fixture.check_invariants();
        // Each accepted query has ended in the broker too: a query that was left in flight would have
        // delayed the exit, or the log would have an event for its expiry.
        let log = fixture.broker.log_lines();
        let has_expired = log
            .iter()
            .any(|line| line.contains("event=queries_expired"));
        assert!(
            !has_expired,
            "expected no event queries_expired, found one in the log {log:?}"
        );
    }
}
