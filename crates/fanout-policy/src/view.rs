//! Types for reading an aggregator's statistics, and for passing in outcomes of attempts that
//! other observers counted. An observer is any program other than the aggregator that counts the
//! outcomes of attempts at the same servers.
//!
//! Nothing in this module makes decisions. An outcome report updates the same statistics as
//! the aggregator's own attempts.

use crate::api::{Ms, NodeId, ServingState};

/// Statistics of one server.
#[derive(Clone, Debug, PartialEq)]
pub struct ServerView {
    /// Name of the server.
    pub node: NodeId,
    /// Index of the cell that it belongs to, see [`Settings::cells`](crate::api::Settings::cells).
    pub cell: usize,
    /// Index of its zone, where the endpoint list names zones.
    pub zone: Option<usize>,
    /// Its state in the endpoint list.
    pub state: ServingState,
    /// End of its ejection; `None` if it is not ejected.
    pub ejected_until: Option<Ms>,
    /// Start of its process, if it may still be warming up; `None` if it is warm.
    pub warming_since: Option<Ms>,
    /// Latency per ms of outstanding work, in multiples of the fleet's median.
    pub relative_latency: f64,
    /// Moving average of the share of attempts that failed.
    pub error_rate: f64,
}

/// Outcomes of attempts at one server that another observer counted since its previous report.
#[derive(Clone, Debug)]
pub struct OutcomeReport {
    /// Name of the server.
    pub node: NodeId,
    /// Number of attempts that were served.
    pub served: u64,
    /// Number of attempts that ended in an error.
    pub errors: u64,
    /// Number of attempts that could not connect or lost their connection.
    pub connection_failures: u64,
    /// Mean latency of the attempts that were served, if the observer measured it.
    pub mean_latency: Option<Ms>,
}

/// Statistics of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassView {
    /// Fan-out width: average number of replica rows that a query of the class contacts.
    pub fanout_rows: f64,
    /// Estimated work of one part, in milliseconds of a server's time.
    pub part_cost: Ms,
    /// Moving average of the time by which queries take longer than forecast.
    pub forecast_error: Ms,
}
