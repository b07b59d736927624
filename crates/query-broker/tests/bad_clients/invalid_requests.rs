//! Tests that a client whose requests keep being invalid is slowed down, but answered.

use async_executor::LocalExecutor;
use futures_lite::FutureExt;
use http::{Request, Response};
use load_generator::{Http1Client, Http2Client, LoadQuery};
use std::io;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use test_fleet::{BrokerProcess, Deployment, Fleet, FleetPlan};

/// Number of invalid requests, one after the other on a connection.
const INVALID_REQUESTS: usize = 12;
/// Minimum time in which a connection gets responses to all of them. Without a delay it takes a few
/// milliseconds.
const MIN_DURATION: Duration = Duration::from_secs(1);
/// Time within which the pages owe a bad client an error.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(3);
/// Time limit of a test, which is far longer than a slow machine needs.
const TEST_TIMEOUT: Duration = Duration::from_secs(30);

/// A client's connection over one version of HTTP.
enum Client {
    Http1(Box<Http1Client>),
    Http2(Http2Client),
}

impl Client {
    async fn send(&mut self, request: &Request<Vec<u8>>) -> io::Result<Response<Vec<u8>>> {
        match self {
            Client::Http1(client) => client.send(request).await,
            Client::Http2(client) => client.send(request).await.map_err(io::Error::other),
        }
    }
}

/// Returns a request for a class that does not exist, or a valid one.
fn request(id: &str, class: &str) -> Request<Vec<u8>> {
    LoadQuery::new(id, class, &[0]).request()
}

/// Guards against a client that takes as much of the broker's time as there is, with one invalid
/// request after the other, and against one that is not answered any more.
async fn check_that_invalid_requests_are_slowed_down(mut client: Client) -> io::Result<()> {
    let started_at = Instant::now();
    for number in 0..INVALID_REQUESTS {
        let sent_at = Instant::now();
        let response = client.send(&request(&format!("i{number}"), "none")).await?;
        assert_eq!(response.status(), 404);
        assert!(sent_at.elapsed() < MAX_RESPONSE_TIME, "request {number}");
    }
    let elapsed = started_at.elapsed();
    assert!(elapsed >= MIN_DURATION, "the responses took {elapsed:?}");
    for number in 0..2 {
        let response = client
            .send(&request(&format!("v{number}"), "lookup"))
            .await?;
        assert_eq!(response.status(), 200);
    }
    Ok(())
}

/// Starts a broker and a client of it, and runs the check above.
fn run(connect: impl AsyncFn(&BrokerProcess, &LocalExecutor<'static>) -> io::Result<Client>) {
    let fleet = Fleet::start(FleetPlan::default()).unwrap();
    let executable = Path::new(env!("CARGO_BIN_EXE_query-broker"));
    let operator_config = "listen-http2 127.0.0.1:0\n";
    let broker =
        BrokerProcess::start(executable, Deployment::default(), &fleet, operator_config).unwrap();
    let executor = Rc::new(LocalExecutor::new());
    let check = async {
        let client = connect(&broker, &executor).await?;
        check_that_invalid_requests_are_slowed_down(client).await
    };
    let expired = async {
        async_io::Timer::after(TEST_TIMEOUT).await;
        Err(io::ErrorKind::TimedOut.into())
    };
    async_io::block_on(executor.run(check.or(expired))).unwrap();
}

#[test]
fn connection_with_invalid_requests_is_slowed_down() {
    run(async |broker, _| {
        let client = Http1Client::connect(broker.http1).await?;
        Ok(Client::Http1(Box::new(client)))
    });
}

#[test]
fn http2_connection_with_invalid_requests_is_slowed_down() {
    run(async |broker, executor| {
        let address = broker.http2.unwrap();
        let client = Http2Client::connect(address, executor).await?;
        Ok(Client::Http2(client))
    });
}
