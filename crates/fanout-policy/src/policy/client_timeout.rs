//! Estimates the timeout that the clients of a query class usually set.
//!
//! The estimate only serves to recognize retries: all attempts of a client at one query share one
//! timeout, so a query that arrives with less time left than usual is a retry. The time at which
//! its client first sent it is computed from [`crate::api::Class::client_timeout`] instead.
//!
//! [`ClientTimeoutEstimate`] owns the estimate of one class and the number of votes for it.

use crate::api::Ms;

/// Shortest client timeout that counts as equal to the estimate, as a share of the estimate. The
/// tolerance above the estimate is as large as that below it.
const EQUAL_TIMEOUT_RATIO: f64 = 0.99;
/// Number of votes that a query with another timeout casts against the estimate. A query with the
/// estimated timeout casts one vote for it. In a retry storm few queries are first attempts, and
/// retries arrive with less than the usual timeout; the vote against the estimate is much smaller
/// so that the retries do not outvote the first attempts.
const DISSENT_VOTES: f64 = 0.15;
/// Maximum number of votes for the estimate.
const MAX_VOTES: f64 = 16.0;
/// Minimum number of votes at which the estimate is used.
const SUFFICIENT_VOTES: f64 = 8.0;

/// Estimate of the timeout that the clients of a query class usually set: the timeout that wins a
/// weighted majority vote of the queries that arrive.
#[derive(Clone, Default)]
pub(crate) struct ClientTimeoutEstimate {
    /// The estimated timeout.
    timeout: Ms,
    /// Number of votes for the estimated timeout.
    votes: f64,
}

impl ClientTimeoutEstimate {
    /// Records the arrival of a query whose client waits for `time_left` from now. The query
    /// votes for the estimate if `time_left` equals it within the tolerance, and against it
    /// otherwise. When the votes for the estimate fall below 0, `time_left` replaces it.
    pub(crate) fn record_time_left(&mut self, time_left: Ms) {
        let tolerance = (1.0 - EQUAL_TIMEOUT_RATIO) * self.timeout;
        let is_equal = (time_left - self.timeout).abs() <= tolerance;
        let vote = if is_equal { 1.0 } else { -DISSENT_VOTES };
        self.votes = (self.votes + vote).min(MAX_VOTES);
        if self.votes < 0.0 {
            *self = ClientTimeoutEstimate {
                timeout: time_left,
                votes: 1.0,
            };
        }
    }

    /// Returns whether the estimate has enough votes to be used.
    pub(crate) fn is_certain(&self) -> bool {
        self.votes >= SUFFICIENT_VOTES
    }

    /// Returns whether `time_left` is shorter than the estimated timeout by more than the
    /// tolerance.
    pub(crate) fn is_shorter_than_usual(&self, time_left: Ms) -> bool {
        time_left < self.timeout * EQUAL_TIMEOUT_RATIO
    }
}
