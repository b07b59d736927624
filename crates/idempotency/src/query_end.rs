//! How a query under an idempotency key ended.

/// How a query under an idempotency key ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryEnd {
    /// With an answer, after which its client has no reason to retry.
    Answered,
    /// Without an answer: its client may retry.
    Unanswered,
}
