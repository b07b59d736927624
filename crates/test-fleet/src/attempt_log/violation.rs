//! The violations of rules that a log of attempts shows.

/// A rule that a broker broke, or that could not be checked.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// More attempts arrived than are logged, so that the rest was not checked.
    #[error("only {logged} of {received} attempts were logged and could be checked")]
    IncompleteLog {
        /// Attempts in the log.
        logged: usize,
        /// Attempts that arrived.
        received: u64,
    },
    /// An attempt arrived after the grace period of its server's drain.
    #[error("{part_id} was sent to {server} {delay_ms} ms after its drain was published")]
    SentToDrainingServer {
        /// The part.
        part_id: String,
        /// The draining server.
        server: String,
        /// Time between the publication of the drain and the attempt, in milliseconds.
        delay_ms: u128,
    },
    /// A part was attempted more often than allowed.
    #[error("{part_id} was attempted {attempts} times")]
    TooManyAttempts {
        /// The part.
        part_id: String,
        /// Its attempts.
        attempts: usize,
    },
    /// Two attempts at the same part, or at the same shard under the same key, were in flight at
    /// the same time.
    #[error("{subject} had two attempts in flight, on {first_server} and {second_server}")]
    ConcurrentAttempts {
        /// What was attempted twice.
        subject: AttemptSubject,
        /// Server of the earlier attempt.
        first_server: String,
        /// Server of the later attempt.
        second_server: String,
    },
    /// An idempotency key was sent again after data servers stopped dropping its repeats.
    #[error("{subject} was sent again after {delay_ms} ms")]
    RepeatedAfterWindow {
        /// What was repeated.
        subject: AttemptSubject,
        /// Time since its first executed attempt, in milliseconds.
        delay_ms: u128,
    },
}

/// What attempts have in common that must not be in flight at the same time.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AttemptSubject {
    /// The same part.
    #[error("{0}")]
    Part(String),
    /// The same shard under the same idempotency key.
    #[error("shard {shard} under key {key}")]
    KeyedShard {
        /// The shard.
        shard: usize,
        /// The idempotency key.
        key: String,
    },
}
