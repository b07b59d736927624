//! A broker with its stand-ins, and a thread's executor for its clients.

use async_executor::LocalExecutor;
use futures_lite::FutureExt;
use h2::client::Builder;
use load_generator::{Http1Client, Http2Client, LoadQuery, QUERY_TEXT, QueryOutcome, ShardValue};
use std::net::TcpStream;
use std::path::Path;
use std::rc::Rc;
use std::time::{Duration, Instant};
use test_fleet::{AttemptLimits, BrokerProcess, Deployment, Fleet, FleetPlan, part_value};

pub(crate) const BOUND: Duration = Duration::from_secs(30);
pub(crate) const OPERATOR: &str = "listen-http2 127.0.0.1:0\n";

pub(crate) struct Rig {
    pub(crate) program: BrokerProcess,
    pub(crate) fleet: Fleet,
    pub(crate) executor: Rc<LocalExecutor<'static>>,
}

/// With everything as it comes, but that parts take so long.
pub(crate) fn rig(work: Duration) -> Rig {
    rig_with(
        FleetPlan {
            part_duration: work,
            ..FleetPlan::default()
        },
        Deployment::default(),
        OPERATOR,
    )
}

pub(crate) fn rig_with(plan: FleetPlan, deployment: Deployment, operator: &str) -> Rig {
    let fleet = Fleet::start(plan).unwrap();
    let exe = Path::new(env!("CARGO_BIN_EXE_query-broker"));
    let program = BrokerProcess::start(exe, deployment, &fleet, operator).unwrap();
    Rig {
        program,
        fleet,
        executor: Rc::new(LocalExecutor::new()),
    }
}

impl Rig {
    /// Runs clients to their end.
    pub(crate) fn run<T>(&self, clients: impl Future<Output = T>) -> T {
        let late = async {
            async_io::Timer::after(BOUND).await;
            panic!("the clients do not come to an end");
        };
        async_io::block_on(self.executor.run(clients.or(late)))
    }

    pub(crate) async fn connect(&self) -> Http2Client {
        Http2Client::connect(self.program.http2.unwrap(), &self.executor)
            .await
            .unwrap()
    }

    pub(crate) async fn connect_with(&self, builder: &Builder) -> Http2Client {
        Http2Client::connect_with(self.program.http2.unwrap(), &self.executor, builder)
            .await
            .unwrap()
    }

    pub(crate) async fn connect_http1(&self) -> Http1Client {
        Http1Client::connect(self.program.http1).await.unwrap()
    }

    /// Waits until the connection's SETTINGS from the broker apply to it. They are the first frame that a server sends
    /// (RFC 9113, section 3.4), so that they are known with the first response.
    pub(crate) async fn settle(&self, http2: &Http2Client) {
        let ready = http::Request::get("http://broker.svc/-/ready");
        let response = http2.send(&ready.body(Vec::new()).unwrap()).await.unwrap();
        assert_eq!(response.status(), 200);
        assert_ne!(http2.peer_stream_limit(), usize::MAX);
    }

    /// Waits until the data servers have seen so many attempts.
    pub(crate) async fn attempts(&self, n: usize) {
        while self.fleet.attempt_log(|log| log.attempts().len()) < n {
            async_io::Timer::after(Duration::from_millis(1)).await;
        }
    }

    /// Waits until the broker accepts no new connections over HTTP/2.
    pub(crate) fn stops_listening(&self) {
        let until = Instant::now() + BOUND;
        while TcpStream::connect(self.program.http2.unwrap()).is_ok() {
            assert!(Instant::now() < until, "it still listens");
            std::thread::sleep(Duration::from_millis(20));
        }
    }

    /// What the data servers saw breaks no rule.
    pub(crate) fn check_books(&self) {
        let violations = self
            .fleet
            .attempt_log(|log| log.check_invariants(AttemptLimits::default()));
        assert!(violations.is_empty(), "{violations:#?}");
    }
}

/// The whole answer of a query for these shards.
pub(crate) fn whole(shards: &[usize]) -> QueryOutcome {
    let shard_value = |shard: &usize| ShardValue {
        shard: *shard,
        value: part_value(*shard, QUERY_TEXT),
    };
    QueryOutcome::Answered {
        complete: true,
        values: shards.iter().map(shard_value).collect(),
    }
}

pub(crate) fn lookup(id: &str, shards: &[usize]) -> LoadQuery {
    LoadQuery::new(id, "lookup", shards)
}
