//! Violations of the rules that a broker's attempts must follow.

/// Violation of a rule, or attempts for which the rules could not be checked.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// The log does not contain all attempts that arrived; the others could not be checked.
    #[error(
        "the log contains only {logged} of {received} received attempts; the others were not \
         checked"
    )]
    IncompleteLog {
        /// Number of attempts in the log.
        logged: usize,
        /// Number of attempts that arrived.
        received: u64,
    },
    /// An attempt arrived at a draining server after the grace period that follows the publication
    /// of the drain.
    #[error(
        "part {part_id} was sent to draining server {server} {delay_ms} ms after the drain was \
         published; the maximum is {max_delay_ms} ms"
    )]
    SentToDrainingServer {
        /// Id of the part.
        part_id: String,
        /// Name of the draining server.
        server: String,
        /// Time from the publication of the drain to the arrival of the attempt, in milliseconds.
        delay_ms: u128,
        /// Maximum of that time, in milliseconds: the grace period and the tolerance.
        max_delay_ms: u128,
    },
    /// A part has more attempts than allowed.
    #[error("part {part_id} was attempted {attempts} times; the maximum is {max_attempts}")]
    TooManyAttempts {
        /// Id of the part.
        part_id: String,
        /// Number of attempts at the part.
        attempts: usize,
        /// Maximum number of attempts at a part.
        max_attempts: usize,
    },
    /// Two attempts at the same part, or at the same shard under the same key, were in flight at
    /// the same time.
    #[error(
        "{subject} had two attempts in flight at the same time, on {first_server} and \
         {second_server}; the maximum is one"
    )]
    ConcurrentAttempts {
        /// Part, or shard and key, that both attempts have in common.
        subject: AttemptSubject,
        /// Name of the server that received the earlier attempt.
        first_server: String,
        /// Name of the server that received the later attempt.
        second_server: String,
    },
    /// An idempotency key was sent again after the time in which data servers drop further attempts
    /// with the same key, so its query may have been executed twice.
    #[error(
        "{subject} was sent again to {server} {delay_ms} ms after its first execution; the maximum \
         is {max_delay_ms} ms"
    )]
    RepeatedAfterWindow {
        /// Shard and key of the attempts.
        subject: AttemptSubject,
        /// Name of the server that received the late attempt.
        server: String,
        /// Time from the first executed attempt to the late one, in milliseconds.
        delay_ms: u128,
        /// Maximum of that time, in milliseconds: the deduplication window and the tolerance.
        max_delay_ms: u128,
    },
}

/// Part, or shard under an idempotency key, for which only one attempt may be in flight at a time.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum AttemptSubject {
    /// The part with this id.
    #[error("part {0}")]
    Part(String),
    /// A shard under an idempotency key.
    #[error("shard {shard} under key {key}")]
    KeyedShard {
        /// Index of the shard.
        shard: usize,
        /// Idempotency key.
        key: String,
    },
}
