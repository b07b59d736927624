//! What is learned about each class of queries.

use crate::api::Ms;
use crate::policy::tuning::{
    CLIENT_TIMEOUT_DISSENT, CLIENT_TIMEOUT_TOLERANCE, MAX_CLIENT_TIMEOUT_VOTES,
};

/// Estimate of the timeout that the clients of a class usually set, kept by votes.
#[derive(Clone, Default)]
pub(crate) struct ClientTimeoutEstimate {
    /// The estimated timeout.
    pub(crate) timeout: Ms,
    /// Votes for the estimate.
    pub(crate) votes: f64,
}

/// What is learned about one class.
#[derive(Clone, Default)]
pub(crate) struct ClassState {
    /// Estimated cost of one part.
    pub(crate) part_cost: Ms,
    /// How much longer than forecast queries take, smoothed.
    pub(crate) forecast_error: Ms,
    /// Duration of the second step, smoothed.
    pub(crate) second_step_duration: Ms,
    /// The usual timeout of its clients.
    pub(crate) client_timeout: ClientTimeoutEstimate,
}

impl ClientTimeoutEstimate {
    /// Counts a query with this time left as a vote for the estimate if the two are equal
    /// within the tolerance, and against it if not. An outvoted estimate is replaced.
    pub(crate) fn vote(&mut self, time_left: Ms) {
        let tolerance = (1.0 - CLIENT_TIMEOUT_TOLERANCE) * self.timeout;
        let is_same = (time_left - self.timeout).abs() <= tolerance;
        let vote = if is_same {
            1.0
        } else {
            -CLIENT_TIMEOUT_DISSENT
        };
        self.votes = (self.votes + vote).min(MAX_CLIENT_TIMEOUT_VOTES);
        if self.votes < 0.0 {
            *self = ClientTimeoutEstimate {
                timeout: time_left,
                votes: 1.0,
            };
        }
    }
}
