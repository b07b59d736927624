//! A running broker with a fleet of data servers and an executor for its clients, and helpers to send
//! queries and to check their answers.

use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::FutureExt;
use futures_util::future::join_all;
use h2::client::Builder;
use load_generator::raw_http2::{END_HEADERS, HEADERS, RawHttp2Client, encode_frame, query_fields};
use load_generator::{Http1Client, Http2Client, LoadQuery, QUERY_TEXT, QueryOutcome, ShardValue};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use test_fleet::{AttemptLimits, BrokerProcess, Deployment, Fault, Fleet, FleetPlan, part_value};

/// Time limit of each wait for an event, which is far longer than a slow machine needs.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// The text of an operator's file that configures only the HTTP/2 listener.
pub(crate) const OPERATOR_CONFIG: &str = "listen-http2 127.0.0.1:0\n";

/// Interval at which the attempt log is polled.
const ATTEMPT_POLL_INTERVAL: Duration = Duration::from_millis(1);

/// Time between two checks of whether the broker still accepts connections.
const CONNECT_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A running broker with its fleet.
pub(crate) struct Fixture {
    pub(crate) broker: BrokerProcess,
    pub(crate) fleet: Fleet,
    /// Executor on which the clients run.
    pub(crate) executor: Rc<LocalExecutor<'static>>,
}

impl Fixture {
    /// Starts the default deployment. Its data servers take `part_duration` for a part.
    pub(crate) fn with_part_duration(part_duration: Duration) -> Self {
        let plan = FleetPlan {
            part_duration,
            ..FleetPlan::default()
        };
        Fixture::start(plan, Deployment::default(), OPERATOR_CONFIG)
    }

    /// Starts a fleet, and a broker with this text of its operator's file.
    pub(crate) fn start(plan: FleetPlan, deployment: Deployment, operator_config: &str) -> Self {
        let fleet = Fleet::start(plan).unwrap();
        let executable = Path::new(env!("CARGO_BIN_EXE_query-broker"));
        let broker = BrokerProcess::start(executable, deployment, &fleet, operator_config).unwrap();
        Fixture {
            broker,
            fleet,
            executor: Rc::new(LocalExecutor::new()),
        }
    }

    /// Runs clients until they have finished. Panics after [`WAIT_TIMEOUT`].
    pub(crate) fn run<T>(&self, clients: impl Future<Output = T>) -> T {
        let timeout = async {
            Timer::after(WAIT_TIMEOUT).await;
            panic!("the clients have not finished within {WAIT_TIMEOUT:?}");
        };
        async_io::block_on(self.executor.run(clients.or(timeout)))
    }

    /// Returns the address of the broker's HTTP/2 listener.
    pub(crate) fn http2_address(&self) -> SocketAddr {
        self.broker.http2.unwrap()
    }

    /// Connects an HTTP/2 client.
    pub(crate) async fn connect(&self) -> Http2Client {
        self.connect_with(&Builder::new()).await
    }

    /// Connects an HTTP/2 client with the settings of `builder`.
    pub(crate) async fn connect_with(&self, builder: &Builder) -> Http2Client {
        Http2Client::connect_with(self.http2_address(), &self.executor, builder)
            .await
            .unwrap()
    }

    /// Connects an HTTP/1.1 client.
    pub(crate) async fn connect_http1(&self) -> Http1Client {
        Http1Client::connect(self.broker.http1).await.unwrap()
    }

    /// Connects a client with which the test writes single frames, and sends its preface and SETTINGS.
    pub(crate) fn connect_raw(&self) -> RawHttp2Client {
        RawHttp2Client::connect_with_preface(self.http2_address())
    }

    /// Connects a client with which the test writes single frames. Sends neither preface nor SETTINGS.
    pub(crate) fn connect_silent(&self) -> RawHttp2Client {
        RawHttp2Client::connect(self.http2_address())
    }

    /// Sets the fault of all data servers, or removes it with [`Fault::None`].
    pub(crate) fn set_fault(&self, fault: Fault) {
        for server in self.fleet.servers() {
            server.set_fault(fault);
        }
    }

    /// Sets the time that all data servers take for a part.
    pub(crate) fn set_part_duration(&self, part_duration: Duration) {
        for server in self.fleet.servers() {
            server.set_part_duration(part_duration);
        }
    }

    /// Waits until the client has received the broker's SETTINGS. A server sends SETTINGS as its first
    /// frame (RFC 9113, section 3.4), so this waits for the response to any request.
    pub(crate) async fn wait_for_settings(&self, http2: &Http2Client) {
        let ready = http::Request::get("http://broker.svc/-/ready");
        let response = http2.send(&ready.body(Vec::new()).unwrap()).await.unwrap();
        assert_eq!(response.status(), 200);
        assert_ne!(
            http2.peer_stream_limit(),
            usize::MAX,
            "expected the stream limit of the broker's SETTINGS, found the value before SETTINGS"
        );
    }

    /// Returns the number of attempts that the data servers have received.
    pub(crate) fn attempt_count(&self) -> usize {
        self.fleet.attempt_log(|log| log.attempts().len())
    }

    /// Waits until the data servers have received `count` attempts since the start.
    pub(crate) async fn wait_for_attempts(&self, count: usize) {
        while self.attempt_count() < count {
            Timer::after(ATTEMPT_POLL_INTERVAL).await;
        }
    }

    /// Waits until all attempts that the data servers have received have ended.
    pub(crate) async fn wait_until_attempts_end(&self) {
        while self
            .fleet
            .attempt_log(|log| log.attempts().iter().any(|attempt| attempt.end.is_none()))
        {
            Timer::after(ATTEMPT_POLL_INTERVAL).await;
        }
    }

    /// Waits until the broker accepts no new connections at its HTTP/2 listener.
    pub(crate) fn wait_until_not_listening(&self) {
        let until = Instant::now() + WAIT_TIMEOUT;
        while TcpStream::connect(self.http2_address()).is_ok() {
            assert!(
                Instant::now() < until,
                "expected the HTTP/2 listener to refuse connections within {WAIT_TIMEOUT:?}"
            );
            std::thread::sleep(CONNECT_POLL_INTERVAL);
        }
    }

    /// Checks that a query on a new connection gets its complete answer.
    pub(crate) async fn expect_served(&self, id: &str, shard: usize) {
        let http2 = self.connect().await;
        let answer = http2.send_query(&lookup(id, &[shard])).await;
        assert_eq!(answer, complete_answer(&[shard]), "{id}");
    }

    /// Checks that the attempts that the data servers have received follow all rules for a broker's
    /// attempts, with the default [`AttemptLimits`].
    pub(crate) fn check_invariants(&self) {
        let violations = self
            .fleet
            .attempt_log(|log| log.check_invariants(AttemptLimits::default()));
        assert!(violations.is_empty(), "{violations:#?}");
    }
}

/// Sends queries concurrently on a connection, and returns their outcomes in the order of `queries`.
pub(crate) async fn send_all(http2: &Http2Client, queries: &[LoadQuery]) -> Vec<QueryOutcome> {
    join_all(queries.iter().map(|query| http2.send_query(query))).await
}

/// Returns the complete answer to a query for these shards.
pub(crate) fn complete_answer(shards: &[usize]) -> QueryOutcome {
    let shard_value = |shard: &usize| ShardValue {
        shard: *shard,
        value: part_value(*shard, QUERY_TEXT),
    };
    QueryOutcome::Answered {
        complete: true,
        values: shards.iter().map(shard_value).collect(),
    }
}

/// Returns a query of the class `lookup`, whose parts are safe to repeat.
pub(crate) fn lookup(id: &str, shards: &[usize]) -> LoadQuery {
    LoadQuery::new(id, "lookup", shards)
}

/// Returns the HEADERS frame of a query. It does not end the stream: the caller sends the body in DATA
/// frames. `changes` replaces or adds header fields; an empty value leaves the field out.
pub(crate) fn query_headers(stream: u32, id: &str, changes: &[(&str, &str)]) -> Vec<u8> {
    encode_frame(HEADERS, END_HEADERS, stream, &query_fields(id, changes))
}
