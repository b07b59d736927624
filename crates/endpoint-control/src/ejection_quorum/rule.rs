//! The figures by which servers are ejected.

use std::time::Duration;

/// The figures of ejection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct EjectionRule {
    /// Smallest number of votes that eject a server. If fewer proxies are connected, all of them
    /// have to vote.
    pub min_votes: usize,
    /// Smallest share of the reporting proxies whose votes eject a server.
    pub min_vote_share: f64,
    /// Share of failed requests from which a report is a vote to eject.
    pub min_failure_share: f64,
    /// Number of requests from which a report can be a vote to eject.
    pub min_requests: u64,
    /// Age at which a report is dropped.
    pub report_lifetime: Duration,
    /// Duration of the first ejection; each further one lasts twice as long as the one before.
    pub first_duration: Duration,
    /// Longest duration of an ejection.
    pub max_duration: Duration,
    /// Time after the end of an ejection after which the next one counts as the first again.
    pub forget_after: Duration,
    /// Largest share of a cell's servers that are ejected at the same time.
    pub max_ejected_share: f64,
    /// Share of unreachable servers from which a zone is taken for partitioned.
    pub partition_share: f64,
}
