//! Assigns data servers to many proxies as clusters and endpoints, without I/O or a clock.
//!
//! The fan-out policy decides whether a server is healthy, ejected, draining or warming up. This
//! package turns those views into assignments that stay safe although each proxy may be late, cut
//! off, or carry most of the traffic:
//!
//! - [`slow_start`] limits the requests that a server which is warming up may have in flight from
//!   all proxies together;
//! - [`leases`] divides that limit among proxies, and reserves each part until its holder can no
//!   longer use it;
//! - [`ejection_quorum`] ejects a server on the reports of several proxies, never of one, and
//!   limits how many servers are ejected;
//! - [`endpoint_assignment`] makes the clusters and endpoints of the proxies.
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

/// Name of a proxy, which stays the same over all of its streams.
pub type ProxyName = Arc<str>;

/// A server as the fan-out policy sees it, and its address.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerView {
    /// Name of the server.
    pub name: NodeId,
    /// Address on which it listens.
    pub address: SocketAddr,
    /// Index of its cell; the servers of a cell hold the same shards.
    pub cell: usize,
    /// Index of its zone.
    pub zone: Option<usize>,
    /// Its state in the endpoint list.
    pub state: ServingState,
    /// When its ejection ends, if the policy has ejected it.
    pub ejected_until: Option<Timestamp>,
    /// When its process started, if it may still be warming up.
    pub started_at: Option<Timestamp>,
    /// Its latency per unit of outstanding work, relative to the fleet's: 1 is usual, 2 is half as
    /// fast.
    pub relative_latency: f64,
}

impl ServerView {
    /// Whether the server is warming up at this moment.
    fn is_warming_up(&self, now: Timestamp, rule: &SlowStartRule) -> bool {
        self.started_at
            .is_some_and(|started_at| !rule.is_warmed_up(now.saturating_since(started_at)))
    }
}
