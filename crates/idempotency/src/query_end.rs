//! How a query under an idempotency key ended.

/// How a query under an idempotency key ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryEnd {
    /// The query was answered, so its client has no reason to retry.
    Answered,
    /// The query ended without an answer, so its client may retry.
    Unanswered,
}
