//! What proxies report, and which reports are votes to eject a server.

use super::rule::EjectionRule;

/// What a proxy reports of one server over its last interval.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ServerReport {
    /// Requests that succeeded.
    pub succeeded: u64,
    /// Requests that the server answered with a failure.
    pub failed: u64,
    /// Requests that ended without an answer.
    pub unanswered: u64,
}

impl ServerReport {
    pub(super) fn requests(&self) -> u64 {
        self.succeeded + self.failed + self.unanswered
    }

    /// Whether so many requests failed that the report votes to eject the server.
    pub(super) fn is_vote_to_eject(&self, rule: &EjectionRule) -> bool {
        let failures = (self.failed + self.unanswered) as f64;
        self.requests() >= rule.min_requests
            && failures >= rule.min_failure_share * self.requests() as f64
    }

    /// Whether the server has answered nothing at all.
    pub(super) fn is_unreachable(&self) -> bool {
        self.succeeded == 0 && self.failed == 0 && self.unanswered > 0
    }
}
