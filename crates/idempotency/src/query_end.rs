//! How a query under an idempotency key ended.

/// How a query under an idempotency key ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryEnd {
    /// The query was answered, so that its client has no reason to retry.
    Answered,
    /// The query ended without an answer, so that its client may retry.
    Unanswered,
}
