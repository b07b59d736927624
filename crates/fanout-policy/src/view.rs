//! Read access to what an aggregator has learned, and input of outcomes that others observed.
//!
//! Nothing here decides anything: load reports update the same statistics as the aggregator's
//! own attempts.

use crate::api::{Ms, NodeId, ServingState};

/// One server as the aggregator sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerView {
    /// The server.
    pub node: NodeId,
    /// Its cell.
    pub cell: usize,
    /// Its zone.
    pub zone: Option<usize>,
    /// Its state in the endpoint list.
    pub state: ServingState,
    /// When its ejection ends, if it is ejected.
    pub ejected_until: Option<Ms>,
    /// When it started, if it may still be warming up.
    pub warming_since: Option<Ms>,
    /// Latency per outstanding work in multiples of the fleet's.
    pub relative_latency: f64,
    /// Share of failed attempts, smoothed.
    pub error_rate: f64,
}

/// What others observed at a server over some time.
#[derive(Clone, Debug)]
pub struct LoadReport {
    /// The server.
    pub node: NodeId,
    /// Attempts that were served.
    pub served: u64,
    /// Attempts that ended in an error.
    pub errors: u64,
    /// Attempts that could not connect or lost their connection.
    pub connection_failures: u64,
    /// Mean time of the attempts that were served, if it is known.
    pub mean_latency: Option<Ms>,
}

/// One class as the aggregator sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassView {
    /// Replica rows that its queries contact.
    pub fanout_rows: f64,
    /// Estimated cost of one part.
    pub part_cost: Ms,
    /// How much longer than forecast its queries take, smoothed.
    pub forecast_error: Ms,
}
