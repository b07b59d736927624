//! Estimate of the timeout that the clients of a class usually set.
//!
//! [`ClientTimeoutEstimate`] owns the estimate of one class and the votes for it.

use crate::api::Ms;

/// Ratio of two client timeouts within which they count as equal.
const EQUAL_TIMEOUT_RATIO: f64 = 0.99;
/// Votes that a query with another timeout takes from the estimate: in a retry storm few are
/// first attempts.
const DISSENT_VOTES: f64 = 0.15;
/// Largest number of votes for the estimate.
const MAX_VOTES: f64 = 16.0;
/// Votes from which the estimate is used.
const SUFFICIENT_VOTES: f64 = 8.0;

/// Estimate of the timeout that the clients of a class usually set, kept by votes.
#[derive(Clone, Default)]
pub(crate) struct ClientTimeoutEstimate {
    timeout: Ms,
    votes: f64,
}

impl ClientTimeoutEstimate {
    /// Counts a query with this time left as a vote for the estimate if the two are equal
    /// within the tolerance, and against it if not. An outvoted estimate is replaced.
    pub(crate) fn vote(&mut self, time_left: Ms) {
        let tolerance = (1.0 - EQUAL_TIMEOUT_RATIO) * self.timeout;
        let is_same = (time_left - self.timeout).abs() <= tolerance;
        let vote = if is_same { 1.0 } else { -DISSENT_VOTES };
        self.votes = (self.votes + vote).min(MAX_VOTES);
        if self.votes < 0.0 {
            *self = ClientTimeoutEstimate {
                timeout: time_left,
                votes: 1.0,
            };
        }
    }

    /// Whether the estimate is certain enough to be used.
    pub(crate) fn is_certain(&self) -> bool {
        self.votes >= SUFFICIENT_VOTES
    }

    /// Whether a query with this time left has less than usual.
    pub(crate) fn is_shortened(&self, time_left: Ms) -> bool {
        time_left < self.timeout * EQUAL_TIMEOUT_RATIO
    }
}
