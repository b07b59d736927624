//! The thresholds and durations of ejections.

use std::time::Duration;

/// The thresholds and durations of ejections. A server is ejected only if the votes reach both
/// [`min_votes`](Self::min_votes) and [`min_vote_share`](Self::min_vote_share).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EjectionRule {
    /// Minimum number of votes to eject a server. If fewer proxies are connected, the minimum is
    /// the number of connected proxies.
    pub min_votes: usize,
    /// Minimum share of votes to eject a server, from 0 to 1: the number of proxies that vote to
    /// eject it, divided by the number of proxies with a report about it.
    pub min_vote_share: f64,
    /// Minimum share of failed requests with which a report is a vote to eject, from 0 to 1.
    pub min_failure_share: f64,
    /// Minimum number of requests with which a report can be a vote to eject.
    pub min_requests: u64,
    /// Age at which a report is dropped.
    pub report_lifetime: Duration,
    /// Duration of the first ejection. Each further one lasts twice as long as the previous one, up
    /// to [`max_duration`](Self::max_duration).
    pub first_duration: Duration,
    /// Maximum duration of an ejection.
    pub max_duration: Duration,
    /// Time between the end of an ejection and the moment at which it is forgotten. The next
    /// ejection of the server then counts as its first one again.
    pub forget_after: Duration,
    /// Maximum share of a cell's servers that are ejected at the same time, from 0 to 1.
    pub max_ejected_share: f64,
    /// Minimum share of unreachable servers with which a zone is assumed to be partitioned, from 0
    /// to 1. Only the servers of the zone about which there are reports are counted.
    pub partition_share: f64,
}
