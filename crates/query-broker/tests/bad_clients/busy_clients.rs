//! Tests that bad clients do not take the broker's thread from usual ones: 300 clients send requests
//! that are costly to read or to decode, each again as soon as it is answered.
//!
//! How long a usual client waits is counted in responses to bad clients, and not in time, so that
//! the result does not depend on the speed of the machine. Whoever has to wait for each bad client
//! once in each step (accepting, reading, the event loop, the connections to data servers, writing)
//! sees several times as many of these responses as there are bad clients.

use futures_lite::FutureExt;
use load_generator::{
    BadClients, BadClientsPlan, BadConnections, BadRequest, Http1Client, LoadQuery, QueryOutcome,
};
use rstest::rstest;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};
use test_fleet::{BrokerProcess, Deployment, Fleet, FleetPlan};

/// Number of bad clients. Their connections are less than a third of the broker's descriptors.
const BAD_CLIENTS: usize = 300;
/// Number of responses to bad clients from which on all of them are busy.
const WARM_UP_RESPONSES: u64 = 2 * BAD_CLIENTS as u64;
/// Number of requests of usual clients.
const USUAL_REQUESTS: usize = 20;
/// Responses to bad clients during a usual query: half of the bad clients are served before it.
const MAX_RESPONSES_MEANWHILE: u64 = BAD_CLIENTS as u64 / 2;
/// Time limit of a test, which is far longer than a slow machine needs.
const TEST_TIMEOUT: Duration = Duration::from_secs(60);

/// The tests run one at a time, so that each has the machine to itself.
static MACHINE: Mutex<()> = Mutex::new(());

/// Sends a usual query on a new connection and waits for its answer.
async fn send_usual_query(broker: SocketAddr, number: usize) -> QueryOutcome {
    let query = LoadQuery::new(format!("usual{number:04}"), "lookup", &[number % 8]);
    let mut client = Http1Client::connect(broker).await.unwrap();
    let response = client.send(&query.request()).await.unwrap();
    QueryOutcome::from_response(&response)
}

/// Returns how many responses bad clients receive during each usual query, in ascending order.
async fn responses_during_usual_queries(broker: SocketAddr, bad_clients: &BadClients) -> Vec<u64> {
    let mut responses = Vec::new();
    for number in 0..USUAL_REQUESTS {
        let before = bad_clients.responses();
        let outcome = send_usual_query(broker, number).await;
        assert!(outcome.is_answered(), "query {number}: {outcome:?}");
        responses.push(bad_clients.responses() - before);
    }
    responses.sort_unstable();
    responses
}

/// Guards against usual queries that are answered too late or not at all, because each of their steps
/// waits until all bad clients have been served once.
#[rstest]
#[case::repeated_shard(BadRequest::RepeatedShard, BadConnections::Http1Kept)]
#[case::error_at_end(BadRequest::ErrorAtEnd, BadConnections::Http1Kept)]
#[case::new_connections(BadRequest::ErrorAtEnd, BadConnections::Http1New)]
#[case::valid_queries(BadRequest::PaddedQuery, BadConnections::Http1Kept)]
#[case::streams(BadRequest::ErrorAtEnd, BadConnections::Http2 { connections: 4 })]
fn usual_query_does_not_wait_for_all_bad_clients(
    #[case] request: BadRequest,
    #[case] connections: BadConnections,
) {
    let _alone = MACHINE.lock().unwrap_or_else(PoisonError::into_inner);
    let plan = FleetPlan {
        part_duration: Duration::ZERO,
        ..FleetPlan::default()
    };
    let fleet = Fleet::start(plan).unwrap();
    let executable = Path::new(env!("CARGO_BIN_EXE_query-broker"));
    let operator_config = "listen-http2 127.0.0.1:0\n";
    let broker =
        BrokerProcess::start(executable, Deployment::default(), &fleet, operator_config).unwrap();
    let address = match connections {
        BadConnections::Http2 { .. } => broker.http2.unwrap(),
        BadConnections::Http1Kept | BadConnections::Http1New => broker.http1,
    };
    let plan = BadClientsPlan {
        request,
        connections,
        clients: BAD_CLIENTS,
    };
    let bad_clients = BadClients::start(address, plan).unwrap();
    let started_at = Instant::now();
    while bad_clients.responses() < WARM_UP_RESPONSES {
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "no responses to bad clients"
        );
        std::thread::sleep(Duration::from_millis(1));
    }
    let expired = async {
        async_io::Timer::after(TEST_TIMEOUT).await;
        panic!("the usual queries were not answered in time");
    };
    let responses = responses_during_usual_queries(broker.http1, &bad_clients);
    let responses = async_io::block_on(responses.or(expired));
    eprintln!("responses to bad clients during each usual query: {responses:?}");
    let median = responses[responses.len() / 2];
    assert!(
        median < MAX_RESPONSES_MEANWHILE,
        "a usual query waited for {median} responses to {BAD_CLIENTS} bad clients"
    );
}
