//! The report of a proxy about a server, and whether it is a vote to eject the server.

use super::rule::EjectionRule;

/// The outcomes of the requests that a proxy sent to one server during its last report interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerReport {
    /// Number of requests that succeeded.
    pub succeeded: u64,
    /// Number of requests that the server answered with a failure.
    pub failed: u64,
    /// Number of requests that ended without an answer.
    pub unanswered: u64,
}

impl ServerReport {
    /// Returns the number of all requests.
    pub(super) fn requests(&self) -> u64 {
        self.succeeded + self.failed + self.unanswered
    }

    /// Returns whether the report is a vote to eject the server: it covers enough requests, and a
    /// large enough share of them failed or had no answer.
    pub(super) fn is_vote_to_eject(&self, rule: &EjectionRule) -> bool {
        let failures = (self.failed + self.unanswered) as f64;
        self.requests() >= rule.min_requests
            && failures >= rule.min_failure_share * self.requests() as f64
    }

    /// Returns whether the server has answered none of the requests.
    pub(super) fn is_unreachable(&self) -> bool {
        self.succeeded == 0 && self.failed == 0 && self.unanswered > 0
    }
}
