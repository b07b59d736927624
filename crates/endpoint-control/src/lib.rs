//! Assigns data servers to many proxies as clusters and endpoints. Callers pass in the time and all
//! inputs; the package does no I/O and reads no clock.
//!
//! The fan-out policy decides whether a server is healthy, ejected, draining or warming up, and
//! describes it as a [`ServerView`]. This package turns those views into assignments. They must not
//! overload a server or take too many out of service even if some proxies apply an assignment late,
//! are disconnected, or carry most of the traffic:
//!
//! - [`slow_start`] limits the requests that a server which is warming up may have in flight from
//!   all proxies together;
//! - [`leases`] divides that limit among the proxies, and keeps each proxy's share reserved until
//!   the proxy can no longer use it;
//! - [`ejection_quorum`] ejects a server on the reports of several proxies (of one proxy only if no
//!   other is connected), and limits how many servers of a cell are ejected;
//! - [`endpoint_assignment`] builds the clusters and endpoints that the proxies receive.
//!
//! The assignments are made by one or more control instances. A proxy opens a stream to a control
//! instance, which sends the proxy its assignments on this stream. Each instance may grant only a
//! fixed share of the limit of a server that is warming up ([`slow_start::ControlInstance`]), so
//! that the instances together keep to the limit without communication.
//!
//! ```
//! use broker_types::server::NodeId;
//! use broker_types::time::Timestamp;
//! use endpoint_control::leases::{LeaseRequest, LeaseTable, LeaseTimes};
//! use std::time::Duration;
//!
//! let mut leases = LeaseTable::new(LeaseTimes {
//!     time_to_live: Duration::from_secs(2),
//!     max_request_duration: Duration::from_secs(4),
//!     max_pause: Duration::from_secs(10),
//! });
//! let server = NodeId("s1".into());
//! let mut grant = |holder: &str| {
//!     let request = LeaseRequest {
//!         server: &server,
//!         holder: &holder.into(),
//!         wanted_units: 2,
//!         server_limit: 3,
//!     };
//!     leases.grant(Timestamp::ORIGIN, request)
//! };
//! assert_eq!((grant("proxy-a"), grant("proxy-b")), (2, 1), "three units in all");
//! ```

pub mod ejection_quorum;
pub mod endpoint_assignment;
pub mod leases;
pub mod slow_start;

use broker_types::server::{NodeId, ServingState};
use broker_types::time::Timestamp;
use slow_start::SlowStartRule;
use std::net::SocketAddr;
use std::sync::Arc;

/// Name of a proxy. It stays the same when the proxy opens a new stream to a control instance.
pub type ProxyName = Arc<str>;

/// What the fan-out policy has found out about a server, and the server's address.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerView {
    /// Name of the server.
    pub name: NodeId,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Index of its cell; the servers of a cell hold the same shards.
    pub cell: usize,
    /// Index of its zone, if it has one.
    pub zone: Option<usize>,
    /// State of the server in the endpoint list.
    pub state: ServingState,
    /// Time at which the ejection of the server ends, if the policy has ejected it.
    pub ejected_until: Option<Timestamp>,
    /// Time at which the server's process started, if the server may still be warming up.
    pub started_at: Option<Timestamp>,
    /// Latency per unit of outstanding work, divided by that of the fleet: 1 is the usual latency,
    /// 2 means that the server is half as fast as usual.
    pub relative_latency: f64,
}

impl ServerView {
    /// Returns whether the server is warming up at `now`.
    fn is_warming_up(&self, now: Timestamp, rule: &SlowStartRule) -> bool {
        self.started_at
            .is_some_and(|started_at| !rule.is_warmed_up(now.saturating_since(started_at)))
    }
}
